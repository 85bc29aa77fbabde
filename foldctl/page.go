package main

import (
	_ "embed"
	"fmt"
	"html/template"
	"math"
	"os"
	"strings"

	"fuchsiafold.example/fold/trial"
)

// page is the template of the comparison page, which needs no other files.
//
//go:embed page.html
var page string

// pageData is the input of the template. An arm is one of the policies that are
// compared.
type pageData struct {
	Verdict string
	Arms    []pageArm
	Bars    []bar
	Curves  []curve
	Ticks   []tick
}

// pageArm is one row of the table. Stall is the text of the mean stall time; P50,
// P95 and P99 are percentiles of the token gap, and Gaps is the number of gaps;
// First is the 95th percentile of the time until the first token.
type pageArm struct {
	Policy, Stall, P50, P95, P99, First string
	Requests, Preemptions               int
	Gaps                                int64
	Color                               string
}

// bar is the mean stall time of an arm with its confidence interval. All numbers
// are in pixels; Text is the x coordinate of the label.
type bar struct {
	Policy, Color   string
	Y, Width        float64
	Low, High, Text float64
	Label           string
}

// curve is the token gap of an arm by percentile, as the points of an SVG polyline.
type curve struct {
	Color, Points string
}

// tick is a label of an axis and its position in pixels.
type tick struct {
	X, Y  float64
	Label string
}

// Dimensions of the plots in pixels. barStep is the distance between the tops of
// two bars. page.html repeats plotLeft, plotWidth and plotHeight.
const (
	plotLeft   = 110.0
	plotWidth  = 600.0
	plotHeight = 240.0
	barStep    = 44.0
)

var armColors = []string{"#9c2c77", "#2c6e9c", "#6b8e23", "#b8860b"}

// writePage writes the comparison page to the named file. It does nothing if name
// is empty.
func writePage(name string, measures []*trial.Measures) error {
	if name == "" {
		return nil
	}
	t, err := template.New("page").Parse(page)
	if err != nil {
		return fmt.Errorf("parse page template: %w", err)
	}
	var out strings.Builder
	if err := t.Execute(&out, newPageData(measures)); err != nil {
		return fmt.Errorf("execute page template: %w", err)
	}
	if err := os.WriteFile(name, []byte(out.String()), 0o644); err != nil {
		return fmt.Errorf("write page: %w", err)
	}
	fmt.Println("page written to", name)
	return nil
}

func newPageData(measures []*trial.Measures) pageData {
	d := pageData{Verdict: "one policy is in force"}
	if len(measures) == 2 {
		d.Verdict = trial.Conclusion(measures[0], measures[1])
	}
	longestStall, longestGap := 1e-6, 1.0
	for _, m := range measures {
		_, _, high, _ := m.MeanStall()
		longestStall = max(longestStall, high)
		longestGap = max(longestGap, float64(m.TokenGaps.ValueAtPercentile(99.9)))
	}
	for i, m := range measures {
		color := armColors[i%len(armColors)]
		d.Arms = append(d.Arms, pageArm{
			Policy: m.Policy, Stall: stallText(m), Requests: m.Requests, Preemptions: m.Preemptions, Gaps: m.TokenGaps.TotalCount(),
			P50: percentile(m.TokenGaps, 50).String(), P95: percentile(m.TokenGaps, 95).String(), P99: percentile(m.TokenGaps, 99).String(),
			First: percentile(m.FirstToken, 95).String(), Color: color,
		})
		d.Bars = append(d.Bars, newBar(m, i, color, longestStall))
		d.Curves = append(d.Curves, curve{Color: color, Points: gapPoints(m, longestGap)})
	}
	d.Ticks = ticks(longestGap)
	return d
}

func newBar(m *trial.Measures, i int, color string, longest float64) bar {
	mean, low, high, _ := m.MeanStall()
	scale := plotWidth / longest
	return bar{
		Policy: m.Policy, Color: color, Y: float64(i) * barStep, Width: mean * scale,
		Low: plotLeft + low*scale, High: plotLeft + high*scale, Text: plotLeft + high*scale + 8, Label: fmt.Sprintf("%.3f s", mean),
	}
}

// gapPercentiles are the percentiles at which the curves have points.
var gapPercentiles = []float64{1, 5, 10, 20, 30, 40, 50, 60, 70, 80, 90, 95, 98, 99, 99.5, 99.9}

// percentileX returns the x coordinate of a percentile. The scale is logarithmic
// in 100-p, so that the 90th, 99th and 99.9th percentiles are equally spaced.
func percentileX(p float64) float64 {
	return plotLeft + plotWidth*(-math.Log10(1-p/100))/3
}

// gapPoints returns the points of an arm's token gap curve, scaled so that longest,
// in microseconds, is at the top.
func gapPoints(m *trial.Measures, longest float64) string {
	var points []string
	for _, p := range gapPercentiles {
		y := plotHeight - plotHeight*float64(m.TokenGaps.ValueAtPercentile(p))/longest
		points = append(points, fmt.Sprintf("%.1f,%.1f", percentileX(p), y))
	}
	return strings.Join(points, " ")
}

// ticks returns the labels of both axes of the token gap plot.
func ticks(longest float64) []tick {
	var out []tick
	for _, p := range []float64{50, 90, 99, 99.9} {
		out = append(out, tick{X: percentileX(p), Y: plotHeight + 18, Label: fmt.Sprintf("p%g", p)})
	}
	for i := range 5 {
		share := float64(i) / 4
		out = append(out, tick{X: plotLeft - 60, Y: plotHeight - plotHeight*share + 4, Label: fmt.Sprintf("%.1f ms", longest*share/1000)})
	}
	return out
}

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

// page is the self-contained page of a comparison.
//
//go:embed page.html
var page string

// pageData fills the page.
type pageData struct {
	Verdict string
	Arms    []pageArm
	Bars    []bar
	Curves  []curve
	Ticks   []tick
}

type pageArm struct {
	Policy, Stall, P50, P95, P99, First string
	Requests, Preemptions               int
	Gaps                                int64
	Color                               string
}

// bar is the mean stall time of an arm with its interval, in pixels.
type bar struct {
	Policy, Color   string
	Y, Width        float64
	Low, High, Text float64
	Label           string
}

// curve is the token gap of an arm over percentiles, as points of a line.
type curve struct {
	Color, Points string
}

type tick struct {
	X, Y  float64
	Label string
}

// Sizes of the plots in pixels.
const (
	plotLeft   = 110.0
	plotWidth  = 600.0
	plotHeight = 240.0
	barStep    = 44.0
)

var armColors = []string{"#9c2c77", "#2c6e9c", "#6b8e23", "#b8860b"}

// writePage writes the page to a file, or nothing if no file is named.
func writePage(name string, list []*trial.Measures) error {
	if name == "" {
		return nil
	}
	t, err := template.New("page").Parse(page)
	if err != nil {
		return fmt.Errorf("parse page: %w", err)
	}
	var out strings.Builder
	if err := t.Execute(&out, newPageData(list)); err != nil {
		return fmt.Errorf("fill page: %w", err)
	}
	if err := os.WriteFile(name, []byte(out.String()), 0o644); err != nil {
		return fmt.Errorf("write page: %w", err)
	}
	fmt.Println("page written to", name)
	return nil
}

func newPageData(list []*trial.Measures) pageData {
	d := pageData{Verdict: "one policy is in force"}
	if len(list) == 2 {
		d.Verdict = trial.Conclusion(list[0], list[1])
	}
	longestStall, longestGap := 1e-6, 1.0
	for _, m := range list {
		_, _, high, _ := m.MeanStall()
		longestStall = max(longestStall, high)
		longestGap = max(longestGap, float64(m.TokenGaps.ValueAtPercentile(99.9)))
	}
	for i, m := range list {
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

// gapPercentiles are the places of the curves.
var gapPercentiles = []float64{1, 5, 10, 20, 30, 40, 50, 60, 70, 80, 90, 95, 98, 99, 99.5, 99.9}

// percentileX spreads the tail: each nine takes the same width.
func percentileX(p float64) float64 {
	return plotLeft + plotWidth*(-math.Log10(1-p/100))/3
}

func gapPoints(m *trial.Measures, longest float64) string {
	var points []string
	for _, p := range gapPercentiles {
		y := plotHeight - plotHeight*float64(m.TokenGaps.ValueAtPercentile(p))/longest
		points = append(points, fmt.Sprintf("%.1f,%.1f", percentileX(p), y))
	}
	return strings.Join(points, " ")
}

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

package report

import (
	"cmp"
	_ "embed"
	"fmt"
	"html/template"
	"io"
	"maps"
	"slices"

	"github.com/rotisserie/eris"
)

// page is the template of the page, which needs no other files.
//
//go:embed page.html
var page string

// ErrEmpty is returned for logs without a line that can be read.
var ErrEmpty = eris.New("the logs hold no line that can be read")

// Dimensions of the plots in pixels. page.html repeats plotHeight.
const (
	plotWidth  = 900.0
	plotHeight = 120.0
)

// maxTexts is the largest number of reasons and of warnings on the page.
const maxTexts = 15

// pageData is the input of the template.
type pageData struct {
	From, To int
	Width    float64
	Plots    []plot
	VMs      []vmRow
	Reasons  []textRow
	Warnings []textRow
	Unread   int
}

type vmRow struct {
	ID string
	VM
}

type textRow struct {
	Text  string
	Count int
}

// plot is one plot: values by second, stacked.
type plot struct {
	Title, Unit string
	Top         float64
	Bars        []bar
	Series      []series
}

// series is what one color of a plot stands for.
type series struct {
	Name, Color string
	of          func(s *Second) float64
}

// bar is a rectangle of a plot in pixels.
type bar struct {
	X, Y, Width, Height float64
	Color, Label        string
}

// Write writes the page of a day.
func Write(w io.Writer, d *Day) error {
	from, to, ok := d.span()
	if !ok {
		return ErrEmpty
	}
	t, err := template.New("page").Parse(page)
	if err != nil {
		return fmt.Errorf("parse page template: %w", err)
	}
	data := pageData{From: from, To: to, Width: plotWidth, Unread: d.Unread, Reasons: topTexts(d.Reasons), Warnings: topTexts(d.Warnings)}
	for _, id := range slices.Sorted(maps.Keys(d.VMs)) {
		data.VMs = append(data.VMs, vmRow{ID: id, VM: *d.VMs[id]})
	}
	for _, p := range plots() {
		p.draw(d, from, to)
		data.Plots = append(data.Plots, p)
	}
	if err := t.Execute(w, data); err != nil {
		return fmt.Errorf("execute page template: %w", err)
	}
	return nil
}

// plots returns the plots without their bars.
func plots() []plot {
	outcome := func(name string) func(*Second) float64 {
		return func(s *Second) float64 { return float64(s.Outcomes[name]) }
	}
	over95 := func(of func(*Second) []float64) func(*Second) float64 {
		return func(s *Second) float64 { return percentile(of(s), 95) }
	}
	return []plot{
		{Title: "Requests that ended", Unit: "a second", Series: []series{
			{"done", "#2c6e9c", outcome("done")}, {"rejected as not run", "#b8860b", outcome("notRun")},
			{"interrupted", "#9c2c77", outcome("interrupted")}, {"unknown", "#555555", outcome("unknown")},
		}},
		{Title: "Placements of runs", Unit: "a second", Series: []series{
			{"placed", "#2c6e9c", func(s *Second) float64 { return float64(s.Placed - s.Full) }},
			{"no server had room", "#b8860b", func(s *Second) float64 { return float64(s.Full) }},
		}},
		{Title: "Memory of the servers chosen", Unit: "percent, 95th percentile", Series: []series{
			{"memory", "#6b8e23", over95(func(s *Second) []float64 { return s.Memory })},
		}},
		{Title: "Time to the first event", Unit: "ms, 95th percentile of the streams that ended", Series: []series{
			{"first event", "#2c6e9c", over95(func(s *Second) []float64 { return s.FirstEvents })},
		}},
		{Title: "Longest pause of a stream", Unit: "ms, 95th percentile of the streams that ended", Series: []series{
			{"pause", "#9c2c77", over95(func(s *Second) []float64 { return s.Pauses })},
		}},
		{Title: "Steps of moves", Unit: "a second", Series: []series{
			{"done", "#2c6e9c", func(s *Second) float64 { return float64(s.Moves) }},
			{"failed", "#9c2c77", func(s *Second) float64 { return float64(s.FailedMoves) }},
		}},
		{Title: "Sends without a permit, to servers with a rate limit", Unit: "a second", Series: []series{
			{"denied", "#b8860b", func(s *Second) float64 { return float64(s.Denials) }},
		}},
	}
}

// draw adds the bars of the seconds from one to another.
func (p *plot) draw(d *Day, from, to int) {
	for _, s := range d.Seconds {
		sum := 0.0
		for _, of := range p.Series {
			sum += of.of(s)
		}
		p.Top = max(p.Top, sum)
	}
	if p.Top == 0 {
		return
	}
	width := plotWidth / float64(to-from+1)
	for number := from; number <= to; number++ {
		s := d.Seconds[number]
		if s == nil {
			continue
		}
		y := plotHeight
		for _, of := range p.Series {
			value := of.of(s)
			height := plotHeight * value / p.Top
			y -= height
			if value > 0 {
				p.Bars = append(p.Bars, bar{
					X: width * float64(number-from), Y: y, Width: max(width-1, 1), Height: height,
					Color: of.Color, Label: fmt.Sprintf("second %d, %s: %.4g", number, of.Name, value),
				})
			}
		}
	}
}

// topTexts returns the texts that occur most often.
func topTexts(counts map[string]int) []textRow {
	var rows []textRow
	for text, n := range counts {
		rows = append(rows, textRow{Text: text, Count: n})
	}
	slices.SortFunc(rows, func(a, b textRow) int { return cmp.Or(b.Count-a.Count, cmp.Compare(a.Text, b.Text)) })
	return rows[:min(len(rows), maxTexts)]
}

// This file draws the report: one HTML page that needs no other file.

package lab

import (
	"bytes"
	"embed"
	"fmt"
	"html/template"
	"image/color"
	"io"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"
)

//go:embed report.html
var reportTemplate embed.FS

const (
	plotWidth  = 18 * vg.Centimeter
	plotHeight = 6 * vg.Centimeter
)

// reportSection is one result as the page shows it. The template uses its fields by name.
type reportSection struct {
	*Result
	Plots []template.HTML
	Text  string
}

// Report writes one self-contained page with a section for each result.
func Report(out io.Writer, results []*Result) error {
	t, err := template.ParseFS(reportTemplate, "report.html")
	if err != nil {
		return fmt.Errorf("report: %w", err)
	}
	var sections []reportSection
	for _, r := range results {
		v := reportSection{Result: r}
		var text bytes.Buffer
		r.Print(&text)
		v.Text = text.String()
		for _, draw := range []func(*Result) (*plot.Plot, error){servicePlot, latencyPlot, loadPlot} {
			p, err := draw(r)
			if err != nil {
				return fmt.Errorf("report: %w", err)
			}
			svg, err := renderSVG(p)
			if err != nil {
				return fmt.Errorf("report: %w", err)
			}
			v.Plots = append(v.Plots, svg)
		}
		sections = append(sections, v)
	}
	if err := t.Execute(out, sections); err != nil {
		return fmt.Errorf("report: %w", err)
	}
	return nil
}

func renderSVG(p *plot.Plot) (template.HTML, error) {
	c := vgsvg.New(plotWidth, plotHeight)
	p.Draw(draw.New(c))
	var svg bytes.Buffer
	if _, err := c.WriteTo(&svg); err != nil {
		return "", fmt.Errorf("plot: %w", err)
	}
	text := svg.String()
	if at := bytes.Index(svg.Bytes(), []byte("<svg")); at > 0 { // removes the XML header, which is for a separate file
		text = text[at:]
	}
	return template.HTML(text), nil // safe: generated here, from numbers
}

// newPlot returns an empty plot over the seconds of the run.
func newPlot(r *Result, title, unit string) (*plot.Plot, error) {
	p := plot.New()
	p.Title.Text, p.X.Label.Text, p.Y.Label.Text = title, "s", unit
	p.X.Min, p.X.Max, p.Y.Min = 0, float64(len(r.Seconds)), 0
	p.Legend.Top = true
	p.Add(plotter.NewGrid())
	return p, nil
}

// addAnnotations draws each fault as a vertical line. It needs the plot's final height.
func addAnnotations(p *plot.Plot, r *Result) error {
	for _, m := range r.Annotations {
		l, err := plotter.NewLine(plotter.XYs{{X: m.At / 1000, Y: p.Y.Min}, {X: m.At / 1000, Y: p.Y.Max}})
		if err != nil {
			return fmt.Errorf("mark: %w", err)
		}
		l.Color, l.Dashes = color.RGBA{R: 200, A: 255}, []vg.Length{vg.Points(3), vg.Points(3)}
		p.Add(l)
	}
	return nil
}

// addLine draws one value of each second.
func addLine(p *plot.Plot, r *Result, k int, name string, value func(SecondStats) float64) error {
	var xys plotter.XYs
	for _, s := range r.Seconds {
		xys = append(xys, plotter.XY{X: float64(s.At) + 0.5, Y: value(s)})
	}
	if len(xys) == 0 {
		return nil
	}
	l, err := plotter.NewLine(xys)
	if err != nil {
		return fmt.Errorf("%s: %w", name, err)
	}
	l.Color, l.Width = plotutil.Color(k), vg.Points(1.5)
	p.Add(l)
	p.Legend.Add(name, l)
	return nil
}

type series struct {
	name  string
	value func(SecondStats) float64
}

func seriesPlot(r *Result, title, unit string, all []series) (*plot.Plot, error) {
	p, err := newPlot(r, title, unit)
	if err != nil {
		return nil, err
	}
	for k, c := range all {
		if err := addLine(p, r, k, c.name, c.value); err != nil {
			return nil, err
		}
	}
	if p.Y.Max <= p.Y.Min {
		p.Y.Max = p.Y.Min + 1
	}
	return p, addAnnotations(p, r)
}

func servicePlot(r *Result) (*plot.Plot, error) {
	return seriesPlot(r, "Work items by second of arrival and outcome", "items", []series{
		{"arrived", func(s SecondStats) float64 { return float64(s.Jobs) }},
		{"in time", func(s SecondStats) float64 { return float64(s.InTime) }},
		{"late", func(s SecondStats) float64 { return float64(s.Late) }},
		{"deferred", func(s SecondStats) float64 { return float64(s.Deferred) }},
		{"failed", func(s SecondStats) float64 { return float64(s.Failed) }}})
}

func latencyPlot(r *Result) (*plot.Plot, error) {
	return seriesPlot(r, "Latency of finished work items", "ms", []series{
		{"p50", func(s SecondStats) float64 { return s.P50 }}, {"p99", func(s SecondStats) float64 { return s.P99 }}})
}

func loadPlot(r *Result) (*plot.Plot, error) {
	var all []series
	for k, kind := range r.Kinds {
		all = append(all, series{kind.Name, func(s SecondStats) float64 {
			if k < len(s.BusyCores) {
				return s.BusyCores[k]
			}
			return 0
		}})
	}
	return seriesPlot(r, "Busy cores, by kind", "cores", all)
}

package experiment

import (
	"github.com/go-faster/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

const (
	plotWidth  = 28 * vg.Centimeter
	plotHeight = 16 * vg.Centimeter
	lineWidth  = 0.7
	labelSize  = 6
	labelRows  = 8 // number of heights over which step labels alternate
)

// Plot writes an SVG file with the utilization of every upstream over time and a
// vertical line for each step.
func (r *Report) Plot(path string) error {
	p := plot.New()
	p.Title.Text = "Busy slots over capacity, " + r.Scenario
	p.X.Label.Text = "seconds"
	p.Y.Label.Text = "busy slots / slots"
	p.Y.Min, p.Y.Max = 0, 1.2
	for i, s := range r.series {
		points := make(plotter.XYs, len(s.samples))
		for j, v := range s.samples {
			points[j] = plotter.XY{X: v.at.Seconds(), Y: v.utilization}
		}
		line, err := plotter.NewLine(points)
		if err != nil {
			continue // no samples yet
		}
		line.Width = vg.Points(lineWidth)
		line.Color = plotutil.Color(i)
		p.Add(line)
		p.Legend.Add(s.name, line)
	}
	if err := r.plotSteps(p); err != nil {
		return err
	}
	p.Legend.TextStyle.Font.Size = vg.Points(labelSize)
	if err := p.Save(plotWidth, plotHeight, path); err != nil {
		return errors.Wrap(err, "plot")
	}
	return nil
}

func (r *Report) plotSteps(p *plot.Plot) error {
	labels := plotter.XYLabels{}
	for i, s := range r.Steps {
		line, err := plotter.NewLine(plotter.XYs{{X: s.Seconds, Y: 0}, {X: s.Seconds, Y: p.Y.Max}})
		if err != nil {
			return errors.Wrap(err, "plot step")
		}
		line.Dashes = plotutil.Dashes(1)
		line.Width = vg.Points(lineWidth)
		p.Add(line)
		height := p.Y.Max - float64(i%labelRows)*0.025
		labels.XYs = append(labels.XYs, plotter.XY{X: s.Seconds, Y: height})
		labels.Labels = append(labels.Labels, s.Step)
	}
	if len(labels.XYs) == 0 {
		return nil
	}
	text, err := plotter.NewLabels(labels)
	if err != nil {
		return errors.Wrap(err, "plot labels")
	}
	for i := range text.TextStyle {
		text.TextStyle[i].Font.Size = vg.Points(labelSize)
	}
	p.Add(text)
	return nil
}

package main

import (
	"github.com/rotisserie/eris"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

const (
	outcomePrefix = "requests."
	plotWidth     = 16 * vg.Centimeter
	plotHeight    = 9 * vg.Centimeter
	barWidth      = 20 * vg.Millimeter
)

// outcomeNames lists the outcomes in the order of the bars.
var outcomeNames = []string{"answered", "notRun", "unknown"}

// drawRollout plots the numbers of instances out of service and finished over time.
func drawRollout(ro rollout, path string) error {
	pt := plot.New()
	pt.Title.Text = "Roll-out: " + ro.reason
	pt.X.Label.Text = "seconds since the first instance left"
	pt.Y.Label.Text = "instances"
	pt.Y.Min = 0
	out, finished := make(plotter.XYs, len(ro.points)), make(plotter.XYs, len(ro.points))
	for ix, po := range ro.points {
		seconds := po.at.Seconds()
		out[ix] = plotter.XY{X: seconds, Y: float64(po.out)}
		finished[ix] = plotter.XY{X: seconds, Y: float64(po.finished)}
	}
	for ix, series := range []struct {
		name   string
		values plotter.XYs
	}{{"out of service", out}, {"finished", finished}} {
		ln, err := plotter.NewLine(series.values)
		if err != nil {
			return eris.Wrap(err, "draw roll-out")
		}
		ln.StepStyle = plotter.PostStep
		ln.Color = plotutil.Color(ix)
		ln.Width = vg.Points(2)
		pt.Add(ln)
		pt.Legend.Add(series.name, ln)
	}
	pt.Legend.Top, pt.Legend.Left = true, true
	return eris.Wrap(pt.Save(plotWidth, plotHeight, path), "save roll-out")
}

// drawOutcomes plots the number of requests by outcome.
func drawOutcomes(metrics map[string]int64, path string) error {
	pt := plot.New()
	pt.Title.Text = "Outcomes of requests through this entry instance"
	pt.Y.Label.Text = "requests"
	pt.Y.Min = 0
	values := make(plotter.Values, len(outcomeNames))
	for ix, name := range outcomeNames {
		values[ix] = float64(metrics[outcomePrefix+name])
	}
	bars, err := plotter.NewBarChart(values, barWidth)
	if err != nil {
		return eris.Wrap(err, "draw outcomes")
	}
	bars.Color = plotutil.Color(2)
	pt.Add(bars)
	pt.NominalX(outcomeNames...)
	pt.X.Min, pt.X.Max = -0.5, float64(len(outcomeNames))-0.5
	return eris.Wrap(pt.Save(plotWidth, plotHeight, path), "save outcomes")
}

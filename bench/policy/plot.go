package policy

import (
	"github.com/cockroachdb/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
)

const (
	plotWidth  = 28 * vg.Centimeter
	plotHeight = 14 * vg.Centimeter
	barWidth   = 18
	// maxBarSeconds limits the height of the bars, so that one very slow policy does not flatten the others.
	maxBarSeconds = 15.0
)

// WritePlot draws the 95th percentile of the time to first token of each policy under one scenario, in seconds. The
// file extension selects the format (.png, .svg or .pdf). Bars are cut off at 15 s.
func WritePlot(path, deployment, scenario string, results []Result) error {
	p := plot.New()
	p.Title.Text = deployment + ", " + scenario + ": p95 of the time to first token"
	p.Y.Label.Text = "seconds, cut off at 15"
	p.Y.Min = 0
	var heights plotter.Values
	var names []string
	for _, r := range results {
		if r.Scenario == scenario {
			heights = append(heights, min(r.P95.Seconds(), maxBarSeconds))
			names = append(names, r.Policy)
		}
	}
	bars, err := plotter.NewBarChart(heights, vg.Points(barWidth))
	if err != nil {
		return errors.Wrap(err, "draw bars")
	}
	p.Add(bars, plotter.NewGrid())
	p.NominalX(names...)
	p.X.Tick.Label.Rotation = 0.5
	p.X.Tick.Label.XAlign = -1
	return errors.Wrapf(p.Save(plotWidth, plotHeight, path), "write plot to %s", path)
}

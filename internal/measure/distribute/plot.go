package distribute

import (
	"time"

	"github.com/ansel1/merry/v2"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// drawPlot writes an SVG plot of complete instances over time, with the lower
// bound. The time axis ends at 1.3 times the slowest run, except for the
// origin-only run, which would compress the others.
func drawPlot(path string, o *Options, runs []*result) error {
	p := plot.New()
	p.Title.Text = "Instances complete over time"
	p.X.Label.Text, p.Y.Label.Text = "seconds", "instances"
	p.X.Min, p.Y.Min, p.Y.Max = 0, 0, float64(o.Agents)*1.05
	p.Legend.Top, p.Legend.Left = false, false
	slowest := time.Duration(0)
	for _, r := range runs {
		if r.name != "origin only" {
			slowest = max(slowest, r.timeToLast())
		}
	}
	p.X.Max = slowest.Seconds() * 1.3
	for i, r := range runs {
		line, err := plotter.NewLine(stepPoints(r))
		if err != nil {
			return merry.Wrap(err)
		}
		line.Color, line.Width = plotutil.Color(i), vg.Points(1.5)
		p.Add(line)
		p.Legend.Add(r.name, line)
	}
	lowerBound := o.lowerBound().Seconds()
	line, err := plotter.NewLine(plotter.XYs{{X: lowerBound, Y: 0}, {X: lowerBound, Y: float64(o.Agents)}})
	if err != nil {
		return merry.Wrap(err)
	}
	line.Dashes = plotutil.Dashes(1)
	p.Add(line)
	p.Legend.Add("lower bound", line)
	return merry.Wrap(p.Save(18*vg.Centimeter, 11*vg.Centimeter, path))
}

func stepPoints(r *result) plotter.XYs {
	points := plotter.XYs{{X: 0, Y: 0}}
	for i, t := range r.completionTimes {
		points = append(points, plotter.XY{X: t.Seconds(), Y: float64(i)}, plotter.XY{X: t.Seconds(), Y: float64(i + 1)})
	}
	return points
}

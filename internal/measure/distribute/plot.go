package distribute

import (
	"time"

	"github.com/ansel1/merry/v2"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// drawPlot writes an SVG of complete instances over time and the lower bound.
// The time axis ends at twice the slowest run but the origin-only one, which
// would squeeze the others.
func drawPlot(path string, o *Options, runs []*result) error {
	p := plot.New()
	p.Title.Text = "Instances complete over time"
	p.X.Label.Text, p.Y.Label.Text = "seconds", "instances"
	p.X.Min, p.Y.Min, p.Y.Max = 0, 0, float64(o.Agents)*1.05
	p.Legend.Top, p.Legend.Left = false, false
	end := time.Duration(0)
	for _, r := range runs {
		if r.name != "origin only" {
			end = max(end, r.timeToLast())
		}
	}
	p.X.Max = end.Seconds() * 1.3
	for i, r := range runs {
		line, err := plotter.NewLine(stepPoints(r))
		if err != nil {
			return merry.Wrap(err)
		}
		line.Color, line.Width = plotutil.Color(i), vg.Points(1.5)
		p.Add(line)
		p.Legend.Add(r.name, line)
	}
	bound := o.lowerBound().Seconds()
	line, err := plotter.NewLine(plotter.XYs{{X: bound, Y: 0}, {X: bound, Y: float64(o.Agents)}})
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

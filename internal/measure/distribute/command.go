// Package distribute measures the distribution of weights. It runs the real
// tracker and transfer code on loopback, over links that are rate-limited by token
// buckets. The baselines are downloads from the origin only and a fixed tree in each
// failure domain.
//
// Link rates are derived from a distribution window, so that a run takes seconds
// and keeps the proportions of the target deployment: the origin's link carries about
// four copies in a window and an instance's link two. Each region reaches the
// origin directly; only traffic between instances uses the links between regions.
package distribute

import (
	"strings"
	"time"

	"github.com/spf13/cobra"

	"github.com/auburnbend/auburnbend/internal/measure/figure"
)

// Performance targets.
const (
	maxTimeFactor               = 1.25 // of the lower bound
	maxCopiesPerDomain          = 1.05
	maxDisturbedTimeFactor      = 2.0 // of the time without faults
	maxDisturbedCopiesPerDomain = 1.2
)

// NewCommand returns the distribute subcommand.
func NewCommand() *cobra.Command {
	o := new(Options)
	cmd := &cobra.Command{
		Use:   "distribute",
		Short: "Measure the time until all instances have the weights, and the origin bytes",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			p := figure.NewPrinter(cmd.OutOrStdout())
			if err := (&experiment{o: o, p: p}).run(); err != nil {
				return err
			}
			return p.Err()
		},
	}
	o.flags(cmd)
	return cmd
}

type experiment struct {
	o    *Options
	p    *figure.Printer
	runs []*result
}

// selected reports whether Options.Runs includes a run.
func (e *experiment) selected(run string) bool {
	return e.o.Runs == "" || strings.Contains(","+e.o.Runs+",", ","+run+",")
}

// run executes the selected runs one after another, since each needs the cores of
// the machine.
func (e *experiment) run() error {
	fixedTree, err := e.runFixedTree()
	if err == nil {
		err = e.runSystem(fixedTree)
	}
	if err == nil && e.selected("origin") {
		var r *result
		if r, err = runOriginOnly(e.o); err == nil {
			e.runs = append(e.runs, r)
			err = e.report(r, "origin_only", nil, nil)
		}
	}
	if err == nil && e.o.PlotPath != "" {
		err = drawPlot(e.o.PlotPath, e.o, e.runs)
	}
	return err
}

// runFixedTree returns nil if the run is not selected.
func (e *experiment) runFixedTree() (*result, error) {
	if !e.selected("tree") {
		return nil, nil
	}
	r, err := runTree(e.o)
	if err != nil {
		return nil, err
	}
	e.runs = append(e.runs, r)
	return r, e.report(r, "fixed_tree", nil, nil)
}

// runSystem runs the system without faults, once favouring time and once favouring
// origin bytes, and then with faults. The fixed tree is the baseline of the figures
// without faults; it may be nil.
func (e *experiment) runSystem(fixedTree *result) error {
	o := e.o
	lowerBound := o.lowerBound()
	if err := e.p.Print(figure.Figure{Name: "distribute/lower_bound", Value: lowerBound.Seconds(), Unit: "s"}); err != nil {
		return err
	}
	undisturbedTime := time.Duration(maxTimeFactor * float64(lowerBound))
	if e.selected("time") {
		r, _, err := runSwarm(o, "time favoured", 1, 0, faults{})
		if err != nil {
			return err
		}
		undisturbedTime = r.timeToLast()
		e.runs = append(e.runs, r)
		limits := bounds{time: maxTimeFactor * lowerBound.Seconds(), copies: maxCopiesPerDomain * float64(o.Domains)}
		if err := e.report(r, "time_favoured", &limits, fixedTree); err != nil {
			return err
		}
	}
	if e.selected("bytes") {
		r, plan, err := runSwarm(o, "origin bytes favoured", 0, 0, faults{})
		if err != nil {
			return err
		}
		e.runs = append(e.runs, r)
		if err := e.p.Print(figure.Figure{Name: "distribute/bytes_favoured/predicted_time", Value: plan.EstimatedTime.Seconds(), Unit: "s"}); err != nil {
			return err
		}
		limits := bounds{time: maxTimeFactor * plan.EstimatedTime.Seconds(), copies: maxCopiesPerDomain * float64(plan.Policy.Copies)}
		if err := e.report(r, "bytes_favoured", &limits, fixedTree); err != nil {
			return err
		}
	}
	if !e.selected("faults") {
		return nil
	}
	r, _, err := runSwarm(o, "disturbed", o.TimeWeight, o.KillShare, faults{corruptShare: o.CorruptShare, stallShare: o.StallShare, stallWindow: undisturbedTime})
	if err != nil {
		return err
	}
	e.runs = append(e.runs, r)
	limits := bounds{time: maxDisturbedTimeFactor * undisturbedTime.Seconds(), copies: maxDisturbedCopiesPerDomain * float64(o.Domains)}
	return e.report(r, "disturbed", &limits, nil)
}

// bounds holds the upper bounds of a run: its time in seconds and the number of
// copies read from the origin.
type bounds struct{ time, copies float64 }

// report prints the figures of a run. Without limits they have no bounds, and
// without a baseline no baseline figures.
func (e *experiment) report(r *result, name string, limits *bounds, baseline *result) error {
	complete := figure.Figure{
		Name: "distribute/" + name + "/complete_share", Unit: "share of survivors",
		Value: float64(r.survivors-r.incomplete) / float64(r.survivors),
	}
	timeToAll := figure.Figure{Name: "distribute/" + name + "/time_to_n", Value: r.timeToLast().Seconds(), Unit: "s"}
	timeToHalf := figure.Figure{Name: "distribute/" + name + "/time_to_half", Unit: "s"}
	if n := len(r.completionTimes); n > 0 {
		timeToHalf.Value = r.completionTimes[n/2].Seconds()
	}
	copies := figure.Figure{Name: "distribute/" + name + "/origin_copies", Value: r.originCopies(e.o), Unit: "copies"}
	if limits != nil {
		complete.Bound = figure.AtLeast(1)
		timeToAll.Bound, copies.Bound = figure.AtMost(limits.time), figure.AtMost(limits.copies)
	}
	if baseline != nil {
		t, c := baseline.timeToLast().Seconds(), baseline.originCopies(e.o)
		timeToAll.Baseline, copies.Baseline = &t, &c
	}
	for _, f := range []figure.Figure{complete, timeToAll, timeToHalf, copies} {
		if err := e.p.Print(f); err != nil {
			return err
		}
	}
	return nil
}

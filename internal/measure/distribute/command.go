// Package distribute measures the distribution of weights: the real tracker and
// transfer code on loopback, over links that token buckets limit, against
// downloads from the origin only and a fixed tree in each failure domain.
//
// Link rates follow from a distribution window, so that a run takes seconds and
// keeps the proportions of the stated target: the origin's link carries about
// four copies in a window and an instance's link two. The origin is reached
// from each region directly; only traffic between instances uses the links
// between regions.
package distribute

import (
	"strings"
	"time"

	"github.com/spf13/cobra"

	"github.com/auburnbend/auburnbend/internal/measure/figure"
)

// Bounds from the stated target.
const (
	maxTimeFactor               = 1.25 // of the lower bound
	maxCopiesPerDomain          = 1.05
	maxDisturbedTimeFactor      = 2.0 // of the undisturbed time
	maxDisturbedCopiesPerDomain = 1.2 // per failure domain
)

// New returns the subcommand.
func New() *cobra.Command {
	o := new(Options)
	cmd := &cobra.Command{
		Use:   "distribute",
		Short: "Measure time to N instances and origin bytes",
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

func (e *experiment) selected(run string) bool {
	return e.o.Runs == "" || strings.Contains(","+e.o.Runs+",", ","+run+",")
}

// run executes the runs one after the other: they share the machine's cores.
func (e *experiment) run() error {
	fixed, err := e.runFixedTree()
	if err == nil {
		err = e.runSystem(fixed)
	}
	if err == nil && e.selected("origin") {
		var alone *result
		if alone, err = runOriginOnly(e.o); err == nil {
			e.runs = append(e.runs, alone)
			err = e.report(alone, "origin_only", nil, nil)
		}
	}
	if err == nil && e.o.PlotPath != "" {
		err = drawPlot(e.o.PlotPath, e.o, e.runs)
	}
	return err
}

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

// runSystem runs the system undisturbed with time favoured, with origin bytes
// favoured, and disturbed. The baseline of its figures is the fixed tree.
func (e *experiment) runSystem(fixed *result) error {
	o := e.o
	bound := o.lowerBound()
	if err := e.p.Print(figure.Figure{Name: "distribute/lower_bound", Value: bound.Seconds(), Unit: "s"}); err != nil {
		return err
	}
	undisturbed := time.Duration(maxTimeFactor * float64(bound))
	if e.selected("time") {
		r, _, err := runSwarm(o, "time favoured", 1, 0, faults{})
		if err != nil {
			return err
		}
		undisturbed = r.timeToLast()
		e.runs = append(e.runs, r)
		limits := bounds{time: maxTimeFactor * bound.Seconds(), copies: maxCopiesPerDomain * float64(o.Domains)}
		if err := e.report(r, "time_favoured", &limits, fixed); err != nil {
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
		if err := e.report(r, "bytes_favoured", &limits, fixed); err != nil {
			return err
		}
	}
	if !e.selected("faults") {
		return nil
	}
	r, _, err := runSwarm(o, "disturbed", o.TimeWeight, o.KillShare, faults{corruptShare: o.CorruptShare, stallShare: o.StallShare, stallWindow: undisturbed})
	if err != nil {
		return err
	}
	e.runs = append(e.runs, r)
	limits := bounds{time: maxDisturbedTimeFactor * undisturbed.Seconds(), copies: maxDisturbedCopiesPerDomain * float64(o.Domains)}
	return e.report(r, "disturbed", &limits, nil)
}

// bounds holds the bounds of a run.
type bounds struct{ time, copies float64 }

func (e *experiment) report(r *result, name string, l *bounds, base *result) error {
	done := figure.Figure{
		Name: "distribute/" + name + "/complete_share", Unit: "share of survivors",
		Value: float64(r.survivors-r.incomplete) / float64(r.survivors),
	}
	last := figure.Figure{Name: "distribute/" + name + "/time_to_n", Value: r.timeToLast().Seconds(), Unit: "s"}
	median := figure.Figure{Name: "distribute/" + name + "/time_to_half", Unit: "s"}
	if n := len(r.completionTimes); n > 0 {
		median.Value = r.completionTimes[n/2].Seconds()
	}
	copies := figure.Figure{Name: "distribute/" + name + "/origin_copies", Value: r.originCopies(e.o), Unit: "copies"}
	if l != nil {
		done.Bound = figure.AtLeast(1)
		last.Bound, copies.Bound = figure.AtMost(l.time), figure.AtMost(l.copies)
	}
	if base != nil {
		t, c := base.timeToLast().Seconds(), base.originCopies(e.o)
		last.Baseline, copies.Baseline = &t, &c
	}
	for _, f := range []figure.Figure{done, last, median, copies} {
		if err := e.p.Print(f); err != nil {
			return err
		}
	}
	return nil
}

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
	timeFactor      = 1.25 // of the lower bound
	copiesPerDomain = 1.05
	disturbedFactor = 2.0 // of the undisturbed time
	disturbedCopies = 1.2 // per failure domain
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

func (e *experiment) wants(run string) bool {
	return e.o.Only == "" || strings.Contains(","+e.o.Only+",", ","+run+",")
}

// run executes the runs one after the other: they share the machine's cores.
func (e *experiment) run() error {
	fixed, err := e.fixedTree()
	if err == nil {
		err = e.own(fixed)
	}
	if err == nil && e.wants("origin") {
		var alone *result
		if alone, err = originOnly(e.o); err == nil {
			e.runs = append(e.runs, alone)
			err = e.report(alone, "origin_only", nil, nil)
		}
	}
	if err == nil && e.o.Plot != "" {
		err = drawPlot(e.o.Plot, e.o, e.runs)
	}
	return err
}

func (e *experiment) fixedTree() (*result, error) {
	if !e.wants("tree") {
		return nil, nil
	}
	r, err := tree(e.o)
	if err != nil {
		return nil, err
	}
	e.runs = append(e.runs, r)
	return r, e.report(r, "fixed_tree", nil, nil)
}

// own runs the system undisturbed with time favoured, with origin bytes
// favoured, and disturbed. The baseline of its figures is the fixed tree.
func (e *experiment) own(fixed *result) error {
	o := e.o
	bound := o.lowerBound()
	if err := e.p.Print(figure.Figure{Name: "distribute/lower_bound", Value: bound.Seconds(), Unit: "s"}); err != nil {
		return err
	}
	undisturbed := time.Duration(timeFactor * float64(bound))
	if e.wants("time") {
		r, _, err := swarm(o, "time favoured", 1, 0, faults{})
		if err != nil {
			return err
		}
		undisturbed = r.last()
		e.runs = append(e.runs, r)
		limits := limit{time: timeFactor * bound.Seconds(), copies: copiesPerDomain * float64(o.Domains)}
		if err := e.report(r, "time_favoured", &limits, fixed); err != nil {
			return err
		}
	}
	if e.wants("bytes") {
		r, plan, err := swarm(o, "origin bytes favoured", 0, 0, faults{})
		if err != nil {
			return err
		}
		e.runs = append(e.runs, r)
		if err := e.p.Print(figure.Figure{Name: "distribute/bytes_favoured/predicted_time", Value: plan.EstimatedTime.Seconds(), Unit: "s"}); err != nil {
			return err
		}
		limits := limit{time: timeFactor * plan.EstimatedTime.Seconds(), copies: copiesPerDomain * float64(plan.Policy.Copies)}
		if err := e.report(r, "bytes_favoured", &limits, fixed); err != nil {
			return err
		}
	}
	if !e.wants("faults") {
		return nil
	}
	r, _, err := swarm(o, "disturbed", o.TimeWeight, o.Kill, faults{corrupt: o.Corrupt, stall: o.Stall, within: undisturbed})
	if err != nil {
		return err
	}
	e.runs = append(e.runs, r)
	limits := limit{time: disturbedFactor * undisturbed.Seconds(), copies: disturbedCopies * float64(o.Domains)}
	return e.report(r, "disturbed", &limits, nil)
}

// limit holds the bounds of a run.
type limit struct{ time, copies float64 }

func (e *experiment) report(r *result, name string, l *limit, base *result) error {
	done := figure.Figure{
		Name: "distribute/" + name + "/complete_share", Unit: "share of survivors",
		Value: float64(r.survivors-r.incomplete) / float64(r.survivors),
	}
	last := figure.Figure{Name: "distribute/" + name + "/time_to_n", Value: r.last().Seconds(), Unit: "s"}
	median := figure.Figure{Name: "distribute/" + name + "/time_to_half", Unit: "s"}
	if n := len(r.done); n > 0 {
		median.Value = r.done[n/2].Seconds()
	}
	copies := figure.Figure{Name: "distribute/" + name + "/origin_copies", Value: r.copies(e.o), Unit: "copies"}
	if l != nil {
		done.Bound = figure.AtLeast(1)
		last.Bound, copies.Bound = figure.AtMost(l.time), figure.AtMost(l.copies)
	}
	if base != nil {
		t, c := base.last().Seconds(), base.copies(e.o)
		last.Baseline, copies.Baseline = &t, &c
	}
	for _, f := range []figure.Figure{done, last, median, copies} {
		if err := e.p.Print(f); err != nil {
			return err
		}
	}
	return nil
}

package demo

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/ansel1/merry/v2"
)

// summary prints what happened and checks the properties.
func (r *demo) summary() error {
	t := r.tally
	t.mu.Lock()
	defer t.mu.Unlock()
	twice, ranAfterNotRun := r.checkOrders()
	ranAfterNotRun += r.checkDrafts()
	r.print("summary")
	row := func(name string, format string, args ...any) {
		fmt.Fprintf(r.out, "         %-34s %s\n", name, fmt.Sprintf(format, args...))
	}
	row("instances", "%d, of which 1 was stopped and %d were killed", len(r.d.ModelAgents()), r.killed)
	for i, d := range r.rollouts {
		row(fmt.Sprintf("time of rollout %d", i+1), "%s", d.Round(time.Millisecond))
	}
	row("origin bytes", "%.2f copies for %d versions in %d failure domains", r.copies(), len(r.d.Versions), len(domains))
	row("drafts by outcome", "%s", counts(t.drafts))
	row("completed drafts by version", "%s", counts(t.byVersion))
	row("orders by outcome", "%s", counts(t.orders))
	row("time to first token", "%s", quantiles(t.firstByte))
	row("answers wrong, crossed or mixed", "%d", t.wrong)
	row("orders that ran twice", "%d", twice)
	row("runs after not_run", "%d", ranAfterNotRun)
	if t.wrong+twice+ranAfterNotRun > 0 {
		return merry.Wrap(ErrPropertyViolated)
	}
	if t.drafts["completed"] == 0 || t.orders["completed"] == 0 {
		return merry.Wrap(ErrPropertyViolated, merry.AppendMessage("no request completed"))
	}
	return nil
}

// checkOrders counts keys that ran twice, and keys that ran although every
// answer said that they did not.
func (r *demo) checkOrders() (twice, afterNotRun int) {
	for key, never := range r.tally.orderKeys {
		runs := r.d.OrderRuns(key)
		if runs > 1 {
			twice++
		}
		if runs > 0 && never {
			afterNotRun++
		}
	}
	return twice, afterNotRun
}

// checkDrafts counts requests that ran although the answer said that they did
// not.
func (r *demo) checkDrafts() (afterNotRun int) {
	for _, id := range r.tally.notRun {
		if r.d.DraftRuns(id) > 0 {
			afterNotRun++
		}
	}
	return afterNotRun
}

func counts(m map[string]int) string {
	names := make([]string, 0, len(m))
	for name := range m {
		names = append(names, name)
	}
	slices.Sort(names)
	parts := make([]string, 0, len(names))
	for _, name := range names {
		parts = append(parts, fmt.Sprintf("%s %d", name, m[name]))
	}
	return strings.Join(parts, ", ")
}

func quantiles(all []time.Duration) string {
	if len(all) == 0 {
		return "-"
	}
	slices.Sort(all)
	at := func(q float64) time.Duration {
		return all[int(q*float64(len(all)-1))].Round(100 * time.Microsecond)
	}
	return fmt.Sprintf("median %s, 95 in 100 %s, 99 in 100 %s", at(0.5), at(0.95), at(0.99))
}

package demo

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/ansel1/merry/v2"
)

// summary prints the results and returns ErrPropertyViolated if a check fails.
func (s *scenario) summary() error {
	r := s.results
	r.mu.Lock()
	defer r.mu.Unlock()
	duplicates, ranDespiteNotRun := s.checkOrders()
	ranDespiteNotRun += s.checkDrafts()
	s.print("summary")
	row := func(name string, format string, args ...any) {
		fmt.Fprintf(s.out, "         %-34s %s\n", name, fmt.Sprintf(format, args...))
	}
	row("instances", "%d, of which 1 was stopped and %d were killed", len(s.deployment.ModelAgents()), s.killed)
	for i, d := range s.rolloutTimes {
		row(fmt.Sprintf("duration of rollout %d", i+1), "%s", d.Round(time.Millisecond))
	}
	row("read from the origin", "%.2f copies for %d versions in %d failure domains", s.originCopies(), len(s.deployment.Versions), len(domains))
	row("drafts by outcome", "%s", formatCounts(r.drafts))
	row("completed drafts by version", "%s", formatCounts(r.byVersion))
	row("orders by outcome", "%s", formatCounts(r.orders))
	row("time to first token", "%s", formatQuantiles(r.timesToFirstToken))
	row("wrong or mixed-version answers", "%d", r.wrongAnswers)
	row("orders that ran more than once", "%d", duplicates)
	row("requests run despite not_run", "%d", ranDespiteNotRun)
	if r.wrongAnswers+duplicates+ranDespiteNotRun > 0 {
		return merry.Wrap(ErrPropertyViolated)
	}
	if r.drafts["completed"] == 0 || r.orders["completed"] == 0 {
		return merry.Wrap(ErrPropertyViolated, merry.AppendMessage("no draft or no order completed"))
	}
	return nil
}

// checkOrders counts the keys that ran more than once, and the keys that ran although
// all their answers were not_run.
func (s *scenario) checkOrders() (duplicates, ranDespiteNotRun int) {
	for key, onlyNotRun := range s.results.onlyNotRun {
		runs := s.deployment.OrderRuns(key)
		if runs > 1 {
			duplicates++
		}
		if runs > 0 && onlyNotRun {
			ranDespiteNotRun++
		}
	}
	return duplicates, ranDespiteNotRun
}

// checkDrafts counts the drafts that ran although they were reported as not_run.
func (s *scenario) checkDrafts() (ranDespiteNotRun int) {
	for _, id := range s.results.notRunDrafts {
		if s.deployment.DraftRuns(id) > 0 {
			ranDespiteNotRun++
		}
	}
	return ranDespiteNotRun
}

func formatCounts(m map[string]int) string {
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

func formatQuantiles(durations []time.Duration) string {
	if len(durations) == 0 {
		return "-"
	}
	slices.Sort(durations)
	at := func(q float64) time.Duration {
		return durations[int(q*float64(len(durations)-1))].Round(100 * time.Microsecond)
	}
	return fmt.Sprintf("p50 %s, p95 %s, p99 %s", at(0.5), at(0.95), at(0.99))
}

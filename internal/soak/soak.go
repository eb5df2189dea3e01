package soak

import (
	"context"
	"fmt"
	"io"
	"slices"
	"sync"
	"time"

	"github.com/auburnbend/auburnbend/internal/loopback"
)

// Options configures a run.
type Options struct {
	Seed uint64
	// Slot determines the loopback addresses of the run. If another run uses them, those
	// of the next free slot are used.
	Slot int
	// Dir is the directory for settings files and logs.
	Dir      string
	Binaries Binaries
	// StepWindow is the time from the start of traffic within which all steps end.
	StepWindow time.Duration
	// Steps are the steps to run; nil means the random steps of Seed: those of NewLoadPlan
	// if Loads is set, and those of NewPlan otherwise.
	Steps []Step
	Loads bool
	// Trace receives a line for each step; nil disables it.
	Trace io.Writer
}

// Result is the result of a run.
type Result struct {
	Seed     uint64
	Requests int
	// Answered counts the responses with status 200, and Refused those with status 429
	// or 503, which mean that the request did not run.
	Answered, Refused int
	Steps             []Step
	Violations        []Violation
}

const (
	// startupTime is the time between the start of the processes and the start of
	// traffic.
	startupTime = time.Second
	// recoveryCheckTime is how long traffic continues after recoveryTime. It is longer than
	// the timeouts of requests, so that checkRecovery finds requests that have ended.
	recoveryCheckTime = 6 * time.Second
)

// Run runs the daemons with the traffic and the steps of one seed and checks the
// outcome. It returns an error if the daemons could not be started or ctx has ended;
// violations are part of the Result.
func Run(ctx context.Context, o Options) (*Result, error) {
	subnet, reservation, err := loopback.ReserveSubnet(firstSubnet + o.Slot)
	if err != nil {
		return nil, err
	}
	defer reservation.Close()
	steps := o.Steps
	switch {
	case steps != nil:
	case o.Loads:
		steps = NewLoadPlan(o.Seed, o.StepWindow)
	default:
		steps = NewPlan(o.Seed, o.StepWindow)
	}
	losesReports := slices.ContainsFunc(steps, func(s Step) bool { return s.Kind == LoseReports })
	t, err := newTestbed(subnet-firstSubnet, o.Seed, o.Dir, o.Binaries, losesReports)
	if err != nil {
		return nil, err
	}
	defer t.close()
	wait(ctx, startupTime)
	t.recorder.update(func(rec *recorder, _ time.Duration) { rec.started = time.Now() })
	end := o.StepWindow + recoveryTime + recoveryCheckTime
	traffic, stop := context.WithTimeout(ctx, end)
	defer stop()
	var running sync.WaitGroup
	running.Add(1)
	go func() {
		defer running.Done()
		t.runSteps(traffic, steps, o.Trace)
	}()
	t.runCallers(traffic, o.Seed)
	running.Wait()
	return t.result(o, steps, end), ctx.Err()
}

// runSteps starts each step at its time and returns when all have ended. Steps may
// overlap.
func (t *testbed) runSteps(ctx context.Context, steps []Step, trace io.Writer) {
	var running sync.WaitGroup
	defer running.Wait()
	for _, s := range steps {
		wait(ctx, s.Start-t.recorder.now())
		if trace != nil {
			fmt.Fprintln(trace, s)
		}
		running.Add(1)
		go func() {
			defer running.Done()
			t.runStep(ctx, s)
		}()
	}
}

func (t *testbed) result(o Options, steps []Step, end time.Duration) *Result {
	rec := t.recorder
	rec.mu.Lock()
	defer rec.mu.Unlock()
	r := &Result{Seed: o.Seed, Requests: len(rec.outcomes), Steps: steps}
	for i := range rec.outcomes {
		switch status := rec.outcomes[i].response.Status; {
		case status == 200:
			r.Answered++
		case status == 429 || status == 503:
			r.Refused++
		}
	}
	for _, p := range append(append([]*process{}, t.entries...), t.agents...) {
		if p.panics.Load() > 0 {
			rec.panicked = append(rec.panicked, p.name)
		}
	}
	c := &checker{recorder: rec, steps: steps, stepsEnd: o.StepWindow, trafficEnd: end}
	r.Violations = c.run()
	return r
}

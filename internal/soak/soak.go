package soak

import (
	"context"
	"fmt"
	"io"
	"sync"
	"time"
)

// Options describe one run.
type Options struct {
	Seed uint64
	// Slot numbers runs that go on at the same time.
	Slot int
	// Dir takes settings files and logs.
	Dir      string
	Binaries Binaries
	// StepWindow is the time in which steps come.
	StepWindow time.Duration
	// Steps are played in place of those that the seed draws; nil draws.
	Steps []Step
	// Trace takes a line for each step; nil takes none.
	Trace io.Writer
}

// Result is what a run found.
type Result struct {
	Seed     uint64
	Requests int
	// Answered counts successes, Refused promises that a request did not run.
	Answered, Refused int
	Steps             []Step
	Violations        []Violation
}

const (
	// startTime is given to the processes before the traffic starts.
	startTime = time.Second
	// tail is the traffic after the time to recover: requests that are sent in its
	// first seconds end within it.
	tail = 6 * time.Second
)

// Run plays one seed.
func Run(ctx context.Context, o Options) (*Result, error) {
	w, err := newWorld(o.Slot, o.Seed, o.Dir, o.Binaries)
	if err != nil {
		return nil, err
	}
	defer w.close()
	wait(ctx, startTime)
	steps := o.Steps
	if steps == nil {
		steps = NewPlan(o.Seed, o.StepWindow)
	}
	w.ledger.note(func(l *ledger, _ time.Duration) { l.started = time.Now() })
	end := o.StepWindow + recoverTime + tail
	traffic, stop := context.WithTimeout(ctx, end)
	defer stop()
	var playing sync.WaitGroup
	playing.Add(1)
	go func() {
		defer playing.Done()
		w.play(traffic, steps, o.Trace)
	}()
	w.call(traffic, o.Seed)
	playing.Wait()
	return w.report(o, steps, end), ctx.Err()
}

// play takes the steps when their time has come; those that last overlap.
func (w *world) play(ctx context.Context, steps []Step, trace io.Writer) {
	var open sync.WaitGroup
	defer open.Wait()
	for _, s := range steps {
		wait(ctx, s.Start-w.ledger.now())
		if trace != nil {
			fmt.Fprintln(trace, s)
		}
		open.Add(1)
		go func() {
			defer open.Done()
			w.do(ctx, s)
		}()
	}
}

func (w *world) report(o Options, steps []Step, end time.Duration) *Result {
	l := w.ledger
	l.mu.Lock()
	defer l.mu.Unlock()
	r := &Result{Seed: o.Seed, Requests: len(l.outcomes), Steps: steps}
	for i := range l.outcomes {
		switch status := l.outcomes[i].answer.Status; {
		case status == 200:
			r.Answered++
		case status == 429 || status == 503:
			r.Refused++
		}
	}
	c := &check{ledger: l, steps: steps, busy: o.StepWindow, end: end}
	r.Violations = c.run()
	return r
}

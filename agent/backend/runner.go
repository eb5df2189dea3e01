package backend

import (
	"context"
	"math/rand"
	"sync"
	"time"

	"github.com/auburnbend/auburnbend/lib/clock"
	"github.com/auburnbend/auburnbend/lib/engine"
	"github.com/auburnbend/auburnbend/lib/model"
)

// eventQueue is the number of events that may wait for the loop. Senders block
// when it is full.
const eventQueue = 16

// quiesceRetry is the wait after a quiesce that the host refused.
const quiesceRetry = 100 * time.Millisecond

// RunnerConfig holds what a Runner works with.
type RunnerConfig struct {
	Machine Config
	Clock   clock.Clock
	Random  *rand.Rand
	Engine  engine.OrderClient
	Host    Host
}

// Runner carries out the actions of a Machine. One goroutine owns the machine;
// each action that waits has a goroutine of its own. Want, Crashed and Order may
// be called from any goroutine while Run runs.
type Runner struct {
	cfg     RunnerConfig
	machine *Machine
	events  chan func(*Machine, time.Time)
	done    chan struct{}
	tasks   sync.WaitGroup
	// cancelFetch and endQuiesce end what the machine no longer waits for.
	cancelFetch context.CancelFunc
	// fetchReturned is closed when the last Host.Fetch has returned.
	fetchReturned chan struct{}
	// endQuiesce returns once Host.Quiesce has returned: a call that is still
	// under way would refuse requests after the next Host.Serve.
	endQuiesce func()
}

// NewRunner returns a runner for one engine.
func NewRunner(cfg RunnerConfig) *Runner {
	none := func() {}
	returned := make(chan struct{})
	close(returned)
	return &Runner{
		cfg: cfg, machine: NewMachine(cfg.Machine, cfg.Random),
		events: make(chan func(*Machine, time.Time), eventQueue), done: make(chan struct{}),
		cancelFetch: none, endQuiesce: none, fetchReturned: returned,
	}
}

// SetWanted sets the version that should be live; zero wants none.
func (r *Runner) SetWanted(w model.Weights) {
	r.post(func(m *Machine, now time.Time) { m.SetWanted(now, w) })
}

// HandleCrash reports that a request found the engine dead.
func (r *Runner) HandleCrash() { r.post((*Machine).HandleCrash) }

// SubmitOrder gives an order other than a load; the result goes to Host.OrderDone.
func (r *Runner) SubmitOrder(o engine.Order) error {
	refused := make(chan error, 1)
	r.post(func(m *Machine, now time.Time) { refused <- m.SubmitOrder(now, o) })
	select {
	case err := <-refused:
		return err
	case <-r.done:
		return context.Canceled
	}
}

// post hands an event to the loop, or drops it when the runner has ended.
func (r *Runner) post(event func(*Machine, time.Time)) {
	select {
	case r.events <- event:
	case <-r.done:
	}
}

// Run works until ctx ends and waits for what it started.
func (r *Runner) Run(ctx context.Context) {
	defer r.tasks.Wait()
	defer close(r.done)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	for {
		now := r.cfg.Clock.Now()
		r.machine.Tick(now)
		r.carryOut(ctx)
		timer := time.NewTimer(max(r.machine.NextTick().Sub(now), time.Millisecond))
		select {
		case event := <-r.events:
			event(r.machine, r.cfg.Clock.Now())
			r.carryOut(ctx)
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return
		}
		timer.Stop()
	}
}

func (r *Runner) carryOut(ctx context.Context) {
	for _, a := range r.machine.TakeActions() {
		switch a.Kind {
		case ActionFetch:
			r.fetch(ctx, a.Weights)
		case ActionCancelFetch:
			r.cancelFetch()
		case ActionPermit:
			r.tasks.Go(func() { r.permit(ctx, a.Weights) })
		case ActionQuiesce:
			r.quiesce(ctx)
		case ActionServe:
			r.endQuiesce()
			r.cfg.Host.Serve(a.Weights)
		case ActionReadState:
			r.tasks.Go(func() {
				s, err := r.cfg.Engine.State(ctx)
				r.post(func(m *Machine, now time.Time) { m.HandleState(now, s, err) })
			})
		case ActionOrder:
			r.tasks.Go(func() {
				reply, err := r.cfg.Engine.Order(ctx, a.Order)
				r.post(func(m *Machine, now time.Time) { m.HandleReply(now, reply, err) })
			})
		case ActionOrderDone:
			r.cfg.Host.OrderDone(a.Result)
		case ActionReport:
			r.cfg.Host.ReportPhase(a.Weights, a.Phase, a.Err)
		}
	}
}

// fetch starts a fetch once the one before has returned.
func (r *Runner) fetch(ctx context.Context, w model.Weights) {
	ctx, r.cancelFetch = context.WithCancel(ctx)
	cancel := r.cancelFetch
	before, returned := r.fetchReturned, make(chan struct{})
	r.fetchReturned = returned
	r.tasks.Go(func() {
		defer cancel()
		<-before
		f, err := r.cfg.Host.Fetch(ctx, w)
		close(returned)
		if ctx.Err() != nil {
			return // replaced; a newer fetch of the same version may run
		}
		f.Weights = w
		r.post(func(m *Machine, now time.Time) { m.HandleFetched(now, f, err) })
	})
}

func (r *Runner) permit(ctx context.Context, w model.Weights) {
	granted, retry, err := r.cfg.Host.RequestPermit(ctx, w)
	r.post(func(m *Machine, now time.Time) { m.HandlePermit(now, w, granted && err == nil, retry) })
}

// quiesce waits until no request runs, after an earlier quiesce has returned. A
// quiesce that was replaced reports nothing: the machine would take its end for
// that of the newer one.
func (r *Runner) quiesce(ctx context.Context) {
	r.endQuiesce()
	ctx, cancel := context.WithCancel(ctx)
	returned := make(chan struct{})
	r.endQuiesce = func() {
		cancel()
		<-returned
	}
	r.tasks.Go(func() {
		err := r.tryQuiesce(ctx)
		close(returned)
		if err != nil {
			return
		}
		r.post(func(m *Machine, now time.Time) {
			if ctx.Err() == nil {
				m.HandleQuiesced(now)
			}
		})
	})
}

// tryQuiesce repeats a quiesce that the host refused, for instance because it
// is busy with another one, until ctx ends.
func (r *Runner) tryQuiesce(ctx context.Context) error {
	for {
		err := r.cfg.Host.Quiesce(ctx)
		if err == nil || ctx.Err() != nil {
			return err
		}
		select {
		case <-time.After(quiesceRetry):
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

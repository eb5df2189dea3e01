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

// eventQueueSize is the number of events that may be queued. Senders block if the
// queue is full.
const eventQueueSize = 16

// quiesceRetryInterval is the wait before a quiesce that the host refused is repeated.
const quiesceRetryInterval = 100 * time.Millisecond

// RunnerConfig configures a Runner.
type RunnerConfig struct {
	Machine Config
	Clock   clock.Clock
	// BootClock counts suspensions of the machine, during which permits expire as well.
	BootClock clock.Clock
	Random    *rand.Rand
	Engine    engine.OrderClient
	Host      Host
}

// Runner carries out the actions of a Machine. One goroutine owns the machine; each
// action that blocks runs in its own goroutine. SetWanted, HandleCrash and SubmitOrder
// are safe for concurrent use and may block until Run is called.
type Runner struct {
	cfg     RunnerConfig
	machine *Machine
	events  chan func(*Machine, time.Time)
	done    chan struct{}
	tasks   sync.WaitGroup
	// cancelFetch cancels the current fetch.
	cancelFetch context.CancelFunc
	// fetchReturned is closed when the last Host.Fetch has returned.
	fetchReturned chan struct{}
	// stopQuiesce cancels the current quiesce and waits until Host.Quiesce has
	// returned. A call that is still running would refuse requests after the next
	// Host.Serve.
	stopQuiesce func()
}

// NewRunner returns a runner for one engine, which does nothing until Run is called.
func NewRunner(cfg RunnerConfig) *Runner {
	noop := func() {}
	returned := make(chan struct{})
	close(returned)
	return &Runner{
		cfg: cfg, machine: NewMachine(cfg.Machine, cfg.Random),
		events: make(chan func(*Machine, time.Time), eventQueueSize), done: make(chan struct{}),
		cancelFetch: noop, stopQuiesce: noop, fetchReturned: returned,
	}
}

// SetWanted sets the version that should become live, or none if w is zero.
func (r *Runner) SetWanted(w model.Weights) {
	r.post(func(m *Machine, now time.Time) { m.SetWanted(now, w) })
}

// HandleCrash reports a crash of the engine.
func (r *Runner) HandleCrash() { r.post((*Machine).HandleCrash) }

// SubmitOrder submits an order other than a load. The result goes to Host.OrderDone.
// It returns ErrOrderRefused if the machine does not accept the order, and
// context.Canceled if the runner has stopped.
func (r *Runner) SubmitOrder(o engine.Order) error {
	submitted := make(chan error, 1)
	r.post(func(m *Machine, now time.Time) { submitted <- m.SubmitOrder(now, o) })
	select {
	case err := <-submitted:
		return err
	case <-r.done:
		return context.Canceled
	}
}

// post queues an event, or drops it if the runner has stopped.
func (r *Runner) post(event func(*Machine, time.Time)) {
	select {
	case r.events <- event:
	case <-r.done:
	}
}

// Run handles events until ctx ends, then waits for the goroutines that it started.
func (r *Runner) Run(ctx context.Context) {
	defer r.tasks.Wait()
	defer close(r.done)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	for {
		now := r.cfg.Clock.Now()
		r.machine.Tick(now)
		r.executeActions(ctx)
		timer := time.NewTimer(max(r.machine.NextTick().Sub(now), time.Millisecond))
		select {
		case event := <-r.events:
			event(r.machine, r.cfg.Clock.Now())
			r.executeActions(ctx)
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return
		}
		timer.Stop()
	}
}

func (r *Runner) executeActions(ctx context.Context) {
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
			r.stopQuiesce()
			r.cfg.Host.Serve(a.Weights)
		case ActionAbort:
			r.cfg.Host.Abort(a.Restarted)
		case ActionReadState:
			r.tasks.Go(func() {
				s, err := r.cfg.Engine.State(ctx)
				r.post(func(m *Machine, now time.Time) { m.HandleState(now, s, err) })
			})
		case ActionVerifyStaged:
			r.tasks.Go(func() {
				staged, err := r.cfg.Host.VerifyStaged(ctx, a.Staged)
				staged.VerifiedAt = r.cfg.Clock.Now()
				r.post(func(m *Machine, now time.Time) { m.HandleVerified(now, a.Number, staged, err) })
			})
		case ActionVerifyLoaded:
			r.tasks.Go(func() {
				err := r.cfg.Host.VerifyLoaded(ctx, a.Staged)
				r.post(func(m *Machine, now time.Time) { m.HandleVerified(now, a.Number, a.Staged, err) })
			})
		case ActionOrder:
			r.tasks.Go(func() {
				reply, err := r.cfg.Engine.Order(ctx, a.Order)
				r.post(func(m *Machine, now time.Time) { m.HandleReply(now, reply, err) })
			})
		case ActionOrderDone:
			r.cfg.Host.OrderDone(a.Result)
		case ActionRecord:
			r.cfg.Host.Record(a.Record)
		case ActionReport:
			r.cfg.Host.ReportPhase(a.Weights, a.Phase, a.Err)
		}
	}
}

// fetch starts a fetch, which begins once the previous one has returned.
func (r *Runner) fetch(ctx context.Context, w model.Weights) {
	ctx, r.cancelFetch = context.WithCancel(ctx)
	cancel := r.cancelFetch
	previousReturned, returned := r.fetchReturned, make(chan struct{})
	r.fetchReturned = returned
	r.tasks.Go(func() {
		defer cancel()
		<-previousReturned
		staged, err := r.cfg.Host.Fetch(ctx, w)
		staged.VerifiedAt = r.cfg.Clock.Now()
		close(returned)
		if ctx.Err() != nil {
			return // canceled; a newer fetch of the same version may be running
		}
		staged.Weights = w
		r.post(func(m *Machine, now time.Time) { m.HandleFetched(now, staged, err) })
	})
}

func (r *Runner) permit(ctx context.Context, w model.Weights) {
	asked := r.cfg.BootClock.Now()
	permit, err := r.cfg.Host.RequestPermit(ctx, w)
	r.post(func(m *Machine, now time.Time) {
		granted := err == nil && permit.validAfter(r.cfg.BootClock.Now().Sub(asked))
		m.HandlePermit(now, w, granted, permit.Retry)
	})
}

// quiesce stops the previous quiesce and starts a new one. A quiesce that was stopped
// reports nothing, because the machine would mistake its end for that of the new one.
func (r *Runner) quiesce(ctx context.Context) {
	r.stopQuiesce()
	ctx, cancel := context.WithCancel(ctx)
	returned := make(chan struct{})
	r.stopQuiesce = func() {
		cancel()
		<-returned
	}
	r.tasks.Go(func() {
		err := r.retryQuiesce(ctx)
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

// retryQuiesce repeats a quiesce that the host refused, for example because another
// one is running, until it succeeds or ctx ends.
func (r *Runner) retryQuiesce(ctx context.Context) error {
	for {
		err := r.cfg.Host.Quiesce(ctx)
		if err == nil || ctx.Err() != nil {
			return err
		}
		select {
		case <-time.After(quiesceRetryInterval):
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

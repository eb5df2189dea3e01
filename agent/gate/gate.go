package gate

import (
	"context"
	"sync"
	"time"

	"github.com/auburnbend/auburnbend/lib/clock"
	"github.com/auburnbend/auburnbend/lib/memory"
	"github.com/auburnbend/auburnbend/lib/model"
	"github.com/auburnbend/auburnbend/lib/outcome"
	"github.com/auburnbend/auburnbend/lib/wire"
)

// Gate runs the attempts that a Core admits and sends their responses in order. It is
// safe for concurrent use. No message is sent while its mutex is held.
type Gate struct {
	clock     clock.Clock
	backend   Backend
	onChange  func()
	onRefusal func(outcome.Reason)
	// bodies bounds the memory of long bodies; its holders are tenants.
	bodies *memory.Budget

	mu       sync.Mutex
	core     *Core
	attempts map[model.AttemptID]*activeAttempt
	conns    map[Sender]struct{}
	// idle is closed when no attempt is running. It is nil unless Quiesce is waiting.
	idle chan struct{}
	// empty is closed when the gate is draining and empty.
	empty       chan struct{}
	emptyClosed bool
}

// New returns a gate that admits no weights yet. If quarantine is nil, no request is
// quarantined.
func New(config Config, clk clock.Clock, backend Backend, quarantine Quarantine) *Gate {
	config = config.applyDefaults()
	return &Gate{
		clock:     clk,
		onChange:  config.OnChange,
		onRefusal: config.OnRefusal,
		bodies:    memory.NewBudget(config.MaxBodyBytes, config.MaxBodyBytes-config.MaxBodyBytes/otherTenantsShare),
		backend:   backend,
		core:      NewCore(config, quarantine),
		attempts:  make(map[model.AttemptID]*activeAttempt),
		conns:     make(map[Sender]struct{}),
		empty:     make(chan struct{}),
	}
}

// ReserveBody implements wire.BodyRoom. Connections of entries must use it.
func (g *Gate) ReserveBody(tenant model.Tenant, bytes int64) (*memory.Shared, bool) {
	room, ok := g.bodies.TryAcquire(string(tenant), bytes)
	return room.Share(), ok
}

// Bodies returns the budget of long bodies.
func (g *Gate) Bodies() *memory.Budget { return g.bodies }

// Connect adds a connection of an entry. It must be called before the connection's
// first message is handled. Crash reports are sent on all connections.
func (g *Gate) Connect(c Sender) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.conns[c] = struct{}{}
}

// Disconnect removes a lost connection. Its attempts wait for a Reattach.
func (g *Gate) Disconnect(c Sender) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.conns, c)
	for _, a := range g.attempts {
		if a.sender == c {
			g.detach(a)
		}
	}
}

// Handle handles a message of an entry and reports whether it is of a type for the
// gate. It sends the reply on c and may block while c.Send does.
func (g *Gate) Handle(c Sender, m wire.Message) bool {
	var reply wire.Message
	switch m := m.(type) {
	case *wire.RequestStart:
		reply = g.start(c, m)
	case *wire.Reattach:
		reply = g.reattach(c, m)
	case *wire.ResponseAck:
		g.ack(m)
	case *wire.RequestCancel:
		g.cancel(m)
	default:
		return false
	}
	if refused, ok := reply.(*wire.RequestRefused); ok {
		g.onRefusal(refused.Reason)
	}
	if reply != nil {
		// If the reply is lost, the entry requests it again with Reattach.
		_ = c.Send(reply)
	}
	return true
}

// Tick cancels expired attempts and drops old responses. It should be called about once
// per second.
func (g *Gate) Tick() {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, id := range g.core.Expire(g.clock.Now()) {
		if a, ok := g.attempts[id]; ok {
			a.cancel()
		}
	}
	for _, a := range g.attempts {
		notify(a.bufferSpace) // AppendFrame truncates responses that no entry receives.
	}
	g.removeFinished()
}

// Abort lets no running attempt end as a success: its outcome is Unknown even if its
// response is complete. If cancel is true, the attempts are also canceled.
func (g *Gate) Abort(cancel bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, a := range g.attempts {
		a.aborted = true
		if cancel {
			a.cancel()
		}
	}
}

// Live returns the weights for which requests are currently admitted.
func (g *Gate) Live() []model.Weights {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.core.Live()
}

// Running returns the number of attempts that are running on the backend server.
func (g *Gate) Running() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.core.Running()
}

// Drain refuses all further requests. The returned channel is closed when no attempt
// is running and every response was confirmed or dropped.
func (g *Gate) Drain() <-chan struct{} {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.core.Drain()
	g.removeFinished()
	return g.empty
}

// Draining reports whether Drain was called.
func (g *Gate) Draining() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.core.Draining()
}

// crashReportTimeout bounds the wait until a crash report is queued on every
// connection. Entries then receive the report before the ends of the attempts and know
// of the crash when they decide on retries. A blocked connection must not block the
// agent for longer.
const crashReportTimeout = 100 * time.Millisecond

// ReportCrash sends all entries a report of the requests that were in flight when the
// backend server crashed. incarnation identifies the run of the backend server that
// ended.
func (g *Gate) ReportCrash(incarnation uint64) {
	g.mu.Lock()
	report := g.core.CrashReport(g.clock.Now(), incarnation)
	conns := make([]Sender, 0, len(g.conns))
	for c := range g.conns {
		conns = append(conns, c)
	}
	g.mu.Unlock()
	var sent sync.WaitGroup
	for _, c := range conns {
		// A blocked connection must not delay the report on the others.
		sent.Go(func() { _ = c.Send(report) })
	}
	done := make(chan struct{})
	go func() { sent.Wait(); close(done) }()
	select {
	case <-done:
	case <-time.After(crashReportTimeout):
	}
}

// Quiesce refuses new requests and returns nil once none is running, so that no request
// runs on weights that are being replaced. Requests stay refused until Serve is called,
// even if ctx ends first; Quiesce then returns the error of ctx. It returns
// ErrQuiescing if another quiesce is running.
func (g *Gate) Quiesce(ctx context.Context) error {
	g.mu.Lock()
	if g.idle != nil {
		g.mu.Unlock()
		return ErrQuiescing
	}
	g.core.StopAdmitting()
	idle := make(chan struct{})
	g.idle = idle
	g.notifyIdle()
	g.mu.Unlock()
	g.onChange()

	select {
	case <-idle:
		return nil
	case <-ctx.Done():
		g.mu.Lock()
		defer g.mu.Unlock()
		if g.idle == idle {
			g.idle = nil
		}
		return ctx.Err()
	}
}

// Serve sets the weights for which requests are admitted and ends a quiesce.
func (g *Gate) Serve(live []model.Weights) {
	g.mu.Lock()
	g.core.SetLive(live)
	g.core.ResumeAdmitting()
	g.mu.Unlock()
	g.onChange()
}

// notifyIdle ends a waiting quiesce if no attempt is running. The caller holds g.mu.
func (g *Gate) notifyIdle() {
	if g.idle != nil && g.core.Running() == 0 {
		close(g.idle)
		g.idle = nil
	}
}

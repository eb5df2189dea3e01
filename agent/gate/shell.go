package gate

import (
	"context"
	"sync"
	"time"

	"github.com/auburnbend/auburnbend/lib/clock"
	"github.com/auburnbend/auburnbend/lib/model"
	"github.com/auburnbend/auburnbend/lib/outcome"
	"github.com/auburnbend/auburnbend/lib/wire"
)

// Gate runs a Core: it owns the goroutines of the attempts and the order in
// which answers are sent. No message is sent while its mutex is held.
type Gate struct {
	clock   clock.Clock
	backend Backend
	changed func()
	refused func(outcome.Reason)

	mu      sync.Mutex
	core    *Core
	runners map[model.AttemptID]*runner
	conns   map[Sender]struct{}
	// idle is closed when no attempt runs; nil while nobody waits.
	idle chan struct{}
	// empty is closed when the gate drains and is empty.
	empty       chan struct{}
	emptyClosed bool
}

// New returns a shell that serves no weights yet.
func New(config Config, clk clock.Clock, backend Backend, quarantine Quarantine) *Gate {
	return &Gate{
		clock:   clk,
		changed: config.applyDefaults().OnChange,
		refused: config.applyDefaults().OnRefusal,
		backend: backend,
		core:    NewCore(config, quarantine),
		runners: make(map[model.AttemptID]*runner),
		conns:   make(map[Sender]struct{}),
		empty:   make(chan struct{}),
	}
}

// Connect adds an entry's connection, before its first message is handled.
// Crash reports go to all connections.
func (s *Gate) Connect(c Sender) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.conns[c] = struct{}{}
}

// Disconnect removes a dead connection. Attempts that it answered wait for a
// Reattach.
func (s *Gate) Disconnect(c Sender) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
	for _, r := range s.runners {
		if r.sender == c {
			s.detach(r)
		}
	}
}

// Handle takes a message of an entry and reports whether it is one of the
// gate's. It sends answers to it over c and may block while c does.
func (s *Gate) Handle(c Sender, m wire.Message) bool {
	var reply wire.Message
	switch m := m.(type) {
	case *wire.RequestStart:
		reply = s.start(c, m)
	case *wire.Reattach:
		reply = s.reattach(c, m)
	case *wire.ResponseAck:
		s.ack(m)
	case *wire.RequestCancel:
		s.cancel(m)
	default:
		return false
	}
	if refused, ok := reply.(*wire.RequestRefused); ok {
		s.refused(refused.Reason)
	}
	if reply != nil {
		// A lost refusal is asked for again by Reattach.
		_ = c.Send(reply)
	}
	return true
}

// Tick cancels attempts that nobody waits for and forgets old answers. It is
// called about once a second.
func (s *Gate) Tick() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, id := range s.core.Expire(s.clock.Now()) {
		if r, ok := s.runners[id]; ok {
			r.cancel()
		}
	}
	for _, r := range s.runners {
		signal(r.space) // Emit gives up on an answer that nobody takes.
	}
	s.sweep()
}

// Live returns the weights that requests are admitted for now.
func (s *Gate) Live() []model.Weights {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.core.Live()
}

// Running returns the number of attempts on the backend server.
func (s *Gate) Running() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.core.Running()
}

// Drain refuses new requests. The returned channel is closed when no attempt
// runs and every answer is confirmed or given up.
func (s *Gate) Drain() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.core.Drain()
	s.sweep()
	return s.empty
}

// Draining reports whether Drain was called.
func (s *Gate) Draining() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.core.Draining()
}

// reportWait bounds the wait until a crash report is queued on every
// connection. The report then precedes the ends of the attempts, so an entry
// does not retry them as if nothing was known. A silent connection must not hold
// up the agent.
const reportWait = 100 * time.Millisecond

// ReportCrash tells all entries what was in flight when the backend server died.
// Incarnation numbers its starts.
func (s *Gate) ReportCrash(incarnation uint64) {
	s.mu.Lock()
	report := s.core.CrashReport(s.clock.Now(), incarnation)
	conns := make([]Sender, 0, len(s.conns))
	for c := range s.conns {
		conns = append(conns, c)
	}
	s.mu.Unlock()
	var sent sync.WaitGroup
	for _, c := range conns {
		// A connection that blocks must not delay the report to the others.
		sent.Go(func() { _ = c.Send(report) })
	}
	done := make(chan struct{})
	go func() { sent.Wait(); close(done) }()
	select {
	case <-done:
	case <-time.After(reportWait):
	}
}

// Quiesce refuses new requests and returns nil when none runs, so that no
// request runs on weights that are being replaced. Requests stay refused until
// Serve, also when ctx ends first. One quiesce is under way at a time.
func (s *Gate) Quiesce(ctx context.Context) error {
	s.mu.Lock()
	if s.idle != nil {
		s.mu.Unlock()
		return ErrSwitching
	}
	s.core.StopAdmitting()
	idle := make(chan struct{})
	s.idle = idle
	s.notifyIdle()
	s.mu.Unlock()
	s.changed()

	select {
	case <-idle:
		return nil
	case <-ctx.Done():
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.idle == idle {
			s.idle = nil
		}
		return ctx.Err()
	}
}

// Serve sets the weights that requests are admitted for and ends a quiesce.
func (s *Gate) Serve(live []model.Weights) {
	s.mu.Lock()
	s.core.SetLive(live)
	s.core.ResumeAdmitting()
	s.mu.Unlock()
	s.changed()
}

// notifyIdle wakes the quiesce that waits for the last attempt; s.mu is held.
func (s *Gate) notifyIdle() {
	if s.idle != nil && s.core.Running() == 0 {
		close(s.idle)
		s.idle = nil
	}
}

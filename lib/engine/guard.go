package engine

import (
	"time"

	"github.com/ansel1/merry/v2"
)

// phase is the progress of the outstanding order.
type phase uint8

const (
	phaseIdle phase = iota
	phaseBefore
	phaseSend
	phaseSent
	phaseAfter
	phaseResolve
	phaseDone
)

// Guard decides when an order may be sent to an engine that may ignore fencing
// numbers. It allows one outstanding order, reads the state before and after
// it, and resolves an order whose reply was lost by reading the state: while
// such an order may still run or arrive, no other order is sent.
//
// Guard does no I/O: the owner carries out each Step and passes the result
// back. It is not safe for concurrent use.
type Guard struct {
	cfg   GuardConfig
	fence Fence
	// seen is when the state was first read.
	seen time.Time

	phase  phase
	order  Order
	before State
	reply  Reply
	lostAt time.Time
	wake   time.Time
	result Result
}

// NewGuard returns a guard without an outstanding order.
func NewGuard(cfg GuardConfig) *Guard {
	cfg.applyDefaults()
	return &Guard{cfg: cfg, fence: Fence{Epoch: cfg.Epoch}}
}

// Outstanding reports whether an order has not ended yet.
func (g *Guard) Outstanding() bool { return g.phase != phaseIdle }

// Fence returns the number of the last order that was sent. Its start is 0
// until the first state was read, unless the settings gave it.
func (g *Guard) Fence() Fence { return g.fence }

// Submit makes an order the outstanding one; its number is set by the guard.
func (g *Guard) Submit(order Order) error {
	if g.phase != phaseIdle {
		return merry.Wrap(ErrOrderOutstanding)
	}
	g.order, g.phase = order, phaseBefore
	g.before, g.reply, g.wake = State{}, Reply{}, time.Time{}
	return nil
}

// Withdraw takes back an order that was not sent yet, for instance because
// another version is wanted now. It reports whether no order is outstanding.
func (g *Guard) Withdraw() bool {
	if g.phase == phaseBefore || g.phase == phaseSend {
		g.phase = phaseIdle
	}
	return g.phase == phaseIdle
}

// Next returns what to do now. StepReadState and StepSend are returned once for
// each read or send: the owner reports the result before it calls Next again.
func (g *Guard) Next(now time.Time) Step {
	switch g.phase {
	case phaseIdle, phaseSent:
		return Step{Kind: StepIdle}
	case phaseSend:
		g.phase = phaseSent
		return Step{Kind: StepSend, Order: g.order}
	case phaseDone:
		g.phase = phaseIdle
		return Step{Kind: StepDone, Result: g.result}
	default:
		if now.Before(g.wake) {
			return Step{Kind: StepWait, Until: g.wake}
		}
		return Step{Kind: StepReadState}
	}
}

// OnState reports a read of state. A failed read is repeated: an order is
// neither sent nor given up on a guess. Reads without an outstanding order are
// welcome; the first one starts the wait for orders of an earlier agent.
func (g *Guard) OnState(now time.Time, s State, err error) {
	if err != nil {
		g.wake = now.Add(g.cfg.PollInterval)
		return
	}
	if g.seen.IsZero() {
		g.seen = now
	}
	switch g.phase {
	case phaseBefore:
		g.stateBefore(now, s)
	case phaseAfter:
		g.stateAfter(now, s)
	case phaseResolve:
		g.stateResolve(now, s)
	}
}

func (g *Guard) stateBefore(now time.Time, s State) {
	if g.cfg.Epoch == 0 && g.fence.Sequence == 0 {
		// Taken again at each read until the first order is sent: an order of
		// an earlier agent may arrive between two reads.
		g.fence.Epoch = s.Accepted.Epoch + 1
	}
	switch {
	case g.fence.Before(s.Accepted):
		g.done(s, merry.Wrap(ErrSuperseded, merry.AppendMessagef("engine accepted %s, this agent is at %s", s.Accepted, g.fence)))
	case s.Busy:
		// An order of an earlier agent generation still runs.
		g.wake = now.Add(g.cfg.PollInterval)
	case !g.cfg.EnforcesFencing && now.Before(g.seen.Add(g.cfg.SettleTime)):
		g.wake = g.seen.Add(g.cfg.SettleTime)
	case !g.order.fits(s):
		g.done(s, merry.Wrap(ErrWeightsMismatch, merry.AppendMessagef("engine has %s", s.Weights)))
	default:
		g.before = s
		g.fence.Sequence++
		g.order.Fence = g.fence
		g.phase = phaseSend
	}
}

// fits reports whether a KV cache order names the weights that are loaded.
func (o *Order) fits(s State) bool {
	switch o.Kind {
	case OrderExportKV:
		return o.Weights == s.Weights
	case OrderImportKV:
		return o.KV != nil && o.KV.Weights == s.Weights && o.Weights == s.Weights
	default:
		return true
	}
}

// OnReply reports the result of the send.
func (g *Guard) OnReply(now time.Time, r Reply, err error) {
	if g.phase != phaseSent {
		return
	}
	switch {
	case err == nil:
		g.reply, g.phase, g.wake = r, phaseAfter, now
	case NotStarted(err):
		if refused, ok := AsRefused(err); ok && refused.Reason == RefusalFenced {
			err = because(ErrSuperseded, err)
		}
		g.done(State{}, err)
	default:
		g.lostAt, g.phase, g.wake = now, phaseResolve, now
	}
}

// stateAfter judges an order that the engine answered, or had time to take on.
// A restart alone decides nothing: it may have come between the read of state
// and the send, and then the new incarnation runs the order.
func (g *Guard) stateAfter(now time.Time, s State) {
	switch {
	case s.Accepted == g.fence && s.Busy:
		g.wake = now.Add(g.cfg.PollInterval)
	case s.Accepted == g.fence:
		g.done(s, g.check(s))
	case g.fence.Before(s.Accepted):
		g.done(s, merry.Wrap(ErrSuperseded, merry.AppendMessagef("engine accepted %s after %s", s.Accepted, g.fence)))
	case s.Incarnation != g.before.Incarnation:
		g.done(s, merry.Wrap(ErrOrderLost, merry.AppendMessage("engine restarted")))
	case s.Accepted == g.before.Accepted:
		g.done(s, merry.Wrap(ErrOrderLost, merry.AppendMessage("engine did not take the order on")))
	default:
		// Only an engine that ignores fencing takes on an older order.
		g.done(s, merry.Wrap(ErrOrderLost, merry.AppendMessagef("engine accepted the older order %s", s.Accepted)))
	}
}

// stateResolve waits until an order whose reply was lost shows up, or can no
// longer arrive.
func (g *Guard) stateResolve(now time.Time, s State) {
	if s.Accepted != g.fence && now.Before(g.lostAt.Add(g.cfg.SettleTime)) {
		g.wake = now.Add(g.cfg.PollInterval)
		return
	}
	g.stateAfter(now, s)
}

// check compares the state with what the order asked for.
func (g *Guard) check(s State) error {
	failure := s.Failure
	if failure == "" {
		failure = g.reply.Failure
	}
	if failure != "" {
		return merry.Wrap(ErrOrderFailed, merry.AppendMessage(failure))
	}
	movesKV := g.order.Kind == OrderExportKV || g.order.Kind == OrderImportKV
	if movesKV && s.Weights != g.order.Weights {
		// The engine may have restarted with other weights after the read of
		// state before the order.
		return merry.Wrap(ErrWeightsMismatch, merry.AppendMessagef("engine has %s after the order", s.Weights))
	}
	switch g.order.Kind {
	case OrderLoad:
		if s.Weights != g.order.Weights {
			return merry.Wrap(ErrWeightsMismatch, merry.AppendMessagef("engine reports %s, ordered were %s", s.Weights, g.order.Weights))
		}
	case OrderRole:
		if s.Role != g.order.Role {
			return merry.Wrap(ErrOrderFailed, merry.AppendMessagef("engine reports role %s", s.Role))
		}
	case OrderExportKV:
		if g.reply.KV == nil {
			return merry.Wrap(ErrOrderFailed, merry.AppendMessage("exported cache was lost"))
		}
		if g.reply.KV.Weights != g.order.Weights {
			return merry.Wrap(ErrWeightsMismatch, merry.AppendMessagef("exported cache is of %s", g.reply.KV.Weights))
		}
	}
	return nil
}

func (g *Guard) done(s State, err error) {
	g.result = Result{Order: g.order, State: s, Reply: g.reply, Err: err}
	g.phase = phaseDone
}

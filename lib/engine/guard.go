package engine

import (
	"time"

	"github.com/ansel1/merry/v2"
)

// phase is the state of the outstanding order.
type phase uint8

const (
	// phaseIdle: no order is outstanding.
	phaseIdle phase = iota
	// phasePrecheck: the engine's state must be read before the order is sent.
	phasePrecheck
	// phaseReady: the order may be sent.
	phaseReady
	// phaseSent: the reply is pending.
	phaseSent
	// phaseVerify: the engine replied; its state must confirm the result.
	phaseVerify
	// phaseResolve: the reply was lost; the state must show whether the order ran.
	phaseResolve
	// phaseDone: the result is known but not yet delivered.
	phaseDone
)

// Guard is a state machine that decides when an order may be sent to an engine
// that may not check fencing numbers. It allows one outstanding order and has the
// engine's state read before and after it. If a reply is lost, Guard determines
// the result from the engine's state; as long as the order may still arrive or
// run, no other order is sent.
//
// Guard performs no I/O: its owner executes each Step and reports the result. It
// is not safe for concurrent use.
type Guard struct {
	cfg   GuardConfig
	fence Fence
	// respondingSince is the time since which all reads of the state succeeded, without
	// a gap. It is zero if the last one failed.
	respondingSince time.Time
	// lastReadAt is the time of the last successful read.
	lastReadAt time.Time
	// settled is true once the engine has responded for the settle time without a break.
	// No order of an earlier agent is unread then.
	settled bool

	phase phase
	order Order
	// prior is the engine's state before the order was sent.
	prior       State
	reply       Reply
	replyLostAt time.Time
	nextReadAt  time.Time
	result      Result
}

// NewGuard returns a guard without an outstanding order.
func NewGuard(cfg GuardConfig) *Guard {
	cfg.applyDefaults()
	return &Guard{cfg: cfg, fence: Fence{Epoch: cfg.Epoch}}
}

// Outstanding reports whether an order was submitted whose result has not been
// delivered yet.
func (g *Guard) Outstanding() bool { return g.phase != phaseIdle }

// Ready reports whether Next will return StepSend.
func (g *Guard) Ready() bool { return g.phase == phaseReady }

// Fence returns the fence of the last order that was sent. Unless the configuration
// sets it, its epoch is 0 until the state was first read.
func (g *Guard) Fence() Fence { return g.fence }

// Submit makes order the outstanding order and assigns its fence when it is sent.
// It returns ErrOrderOutstanding if there already is one.
func (g *Guard) Submit(order Order) error {
	if g.phase != phaseIdle {
		return merry.Wrap(ErrOrderOutstanding)
	}
	g.order, g.phase = order, phasePrecheck
	g.prior, g.reply, g.nextReadAt = State{}, Reply{}, time.Time{}
	return nil
}

// Withdraw drops the outstanding order if it was not sent yet, for example because
// the target version has changed. It returns true if no order is outstanding now.
func (g *Guard) Withdraw() bool {
	if g.phase == phasePrecheck || g.phase == phaseReady {
		g.phase = phaseIdle
	}
	return g.phase == phaseIdle
}

// Next returns the next action. After StepReadState and StepSend, the owner must
// report the result before it calls Next again.
func (g *Guard) Next(now time.Time) Step {
	switch g.phase {
	case phaseIdle, phaseSent:
		return Step{Kind: StepIdle}
	case phaseReady:
		g.phase = phaseSent
		return Step{Kind: StepSend, Order: g.order}
	case phaseDone:
		g.phase = phaseIdle
		return Step{Kind: StepDone, Result: g.result}
	default:
		if now.Before(g.nextReadAt) {
			return Step{Kind: StepWait, Until: g.nextReadAt}
		}
		return Step{Kind: StepReadState}
	}
}

// OnState processes the result of a read of the state. A failed read is retried,
// because an order must be neither sent nor abandoned without knowing the state.
// OnState may also be called without an outstanding order; the first successful
// read starts the settle time for orders of an earlier agent.
func (g *Guard) OnState(now time.Time, s State, err error) {
	g.observeRead(now, err)
	if err != nil {
		g.nextReadAt = now.Add(g.cfg.PollInterval)
		return
	}
	switch g.phase {
	case phasePrecheck:
		g.precheck(now, s)
	case phaseVerify:
		g.evaluate(now, s)
	case phaseResolve:
		g.evaluateLostReply(now, s)
	}
}

// observeRead updates since when the engine responds. The settle time counts only while
// it does: an engine that is stopped or cut off reads the orders in its sockets when it
// resumes, however long that takes.
func (g *Guard) observeRead(now time.Time, err error) {
	gap := now.Sub(g.lastReadAt) > g.cfg.SettleTime/maxReadGapShare
	switch {
	case NotStarted(err): // the engine is down, and its sockets are gone
		g.lastReadAt = now
	case err != nil:
		g.respondingSince = time.Time{}
	case gap || g.respondingSince.IsZero():
		g.respondingSince, g.lastReadAt = now, now
	default:
		g.lastReadAt = now
		g.settled = g.settled || !now.Before(g.respondingSince.Add(g.cfg.SettleTime))
	}
}

func (g *Guard) precheck(now time.Time, s State) {
	if g.cfg.Epoch == 0 && g.fence.Sequence == 0 {
		// Updated at each read until the first order is sent, because an order
		// of an earlier agent may arrive between two reads.
		g.fence.Epoch = s.Accepted.Epoch + 1
	}
	switch {
	case g.fence.Before(s.Accepted):
		g.finish(s, merry.Wrap(ErrSuperseded, merry.AppendMessagef("engine has accepted fence %s, this agent is at %s", s.Accepted, g.fence)))
	case s.Busy:
		// An order of an earlier agent generation is still running.
		g.nextReadAt = now.Add(g.cfg.PollInterval)
	case !g.cfg.EnforcesFencing && !g.settled:
		g.nextReadAt = now.Add(g.cfg.PollInterval)
	case !g.order.matchesLoaded(s):
		g.finish(s, merry.Wrap(ErrWeightsMismatch, merry.AppendMessagef("engine has loaded %s", s.Weights)))
	default:
		g.prior = s
		g.fence.Sequence++
		g.order.Fence = g.fence
		g.phase = phaseReady
	}
}

// matchesLoaded reports whether a KV cache order names the loaded weights. Other
// orders always match.
func (o *Order) matchesLoaded(s State) bool {
	switch o.Kind {
	case OrderExportKV:
		return o.Weights == s.Weights
	case OrderImportKV:
		return o.KV != nil && o.KV.Weights == s.Weights && o.Weights == s.Weights
	default:
		return true
	}
}

// OnReply processes the result of sending the order.
func (g *Guard) OnReply(now time.Time, r Reply, err error) {
	if g.phase != phaseSent {
		return
	}
	switch {
	case err == nil:
		g.reply, g.phase, g.nextReadAt = r, phaseVerify, now
	case NotStarted(err):
		if refused, ok := AsRefused(err); ok && refused.Reason == RefusalFenced {
			err = wrapCause(ErrSuperseded, err)
		}
		g.finish(State{}, err)
	default:
		g.replyLostAt, g.phase, g.nextReadAt = now, phaseResolve, now
	}
}

// evaluate derives the result of an order from the state, after a reply or after the
// settle time. A restart alone does not mean that the order was lost: if the engine
// restarted between the precheck and the send, the new incarnation runs the order.
func (g *Guard) evaluate(now time.Time, s State) {
	switch {
	case s.Accepted == g.fence && s.Busy:
		g.nextReadAt = now.Add(g.cfg.PollInterval)
	case s.Accepted == g.fence:
		g.finish(s, g.verify(s))
	case g.fence.Before(s.Accepted):
		g.finish(s, merry.Wrap(ErrSuperseded, merry.AppendMessagef("engine accepted fence %s after %s", s.Accepted, g.fence)))
	case s.Incarnation != g.prior.Incarnation:
		g.finish(s, merry.Wrap(ErrOrderLost, merry.AppendMessage("engine restarted")))
	case s.Accepted == g.prior.Accepted:
		g.finish(s, merry.Wrap(ErrOrderLost, merry.AppendMessage("engine did not accept the order")))
	default:
		// Only an engine that does not check fencing numbers accepts an older order.
		g.finish(s, merry.Wrap(ErrOrderLost, merry.AppendMessagef("engine accepted the older order %s", s.Accepted)))
	}
}

// evaluateLostReply waits until the engine has accepted the order or the order can no
// longer arrive.
func (g *Guard) evaluateLostReply(now time.Time, s State) {
	settlingSince := g.replyLostAt
	if g.respondingSince.After(settlingSince) {
		settlingSince = g.respondingSince
	}
	if s.Accepted != g.fence && now.Before(settlingSince.Add(g.cfg.SettleTime)) {
		g.nextReadAt = now.Add(g.cfg.PollInterval)
		return
	}
	g.evaluate(now, s)
}

// verify checks that the state after the order is what the order requested.
func (g *Guard) verify(s State) error {
	failure := s.Failure
	if failure == "" {
		failure = g.reply.Failure
	}
	if failure != "" {
		return merry.Wrap(ErrOrderFailed, merry.AppendMessage(failure))
	}
	movesKV := g.order.Kind == OrderExportKV || g.order.Kind == OrderImportKV
	if movesKV && s.Weights != g.order.Weights {
		// The engine may have restarted with other weights after the precheck.
		return merry.Wrap(ErrWeightsMismatch, merry.AppendMessagef("engine has loaded %s after the order", s.Weights))
	}
	switch g.order.Kind {
	case OrderLoad:
		if s.Weights != g.order.Weights {
			return merry.Wrap(ErrWeightsMismatch, merry.AppendMessagef("engine has loaded %s, want %s", s.Weights, g.order.Weights))
		}
	case OrderRole:
		if s.Role != g.order.Role {
			return merry.Wrap(ErrOrderFailed, merry.AppendMessagef("engine has role %s", s.Role))
		}
	case OrderExportKV:
		if g.reply.KV == nil {
			return merry.Wrap(ErrOrderFailed, merry.AppendMessage("reply with the exported KV cache was lost"))
		}
		if g.reply.KV.Weights != g.order.Weights {
			return merry.Wrap(ErrWeightsMismatch, merry.AppendMessagef("exported KV cache belongs to %s", g.reply.KV.Weights))
		}
	}
	return nil
}

func (g *Guard) finish(s State, err error) {
	g.result = Result{Order: g.order, State: s, Reply: g.reply, Err: err}
	g.phase = phaseDone
}

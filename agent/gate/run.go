package gate

import (
	"context"
	"errors"
	"net/http"
	"slices"

	"github.com/auburnbend/auburnbend/lib/outcome"
	"github.com/auburnbend/auburnbend/lib/wire"
)

// start handles a RequestStart and returns the reply, if any.
func (g *Gate) start(c Sender, m *wire.RequestStart) wire.Message {
	g.mu.Lock()
	defer g.mu.Unlock()
	admission := g.core.Admit(g.clock.Now(), m)
	switch admission.Decision {
	case Refuse:
		m.Room.Release()
		return admission.Refusal
	case Ignore:
		m.Room.Release()
		return nil
	}
	ctx, cancel := context.WithCancel(context.Background())
	a := newActiveAttempt(m.Attempt, c, cancel)
	g.attempts[m.Attempt] = a
	if _, connected := g.conns[c]; !connected {
		g.detach(a)
	}
	go g.runAttempt(ctx, a, *m)
	go g.sendResponse(a)
	return nil
}

// runAttempt runs an attempt on the backend server. The attempt counts as running
// until Backend.Run returns, even if it was canceled long before.
func (g *Gate) runAttempt(ctx context.Context, a *activeAttempt, start wire.RequestStart) {
	defer a.cancel()
	defer start.Room.Release()
	status, contentType, err := g.backend.Run(ctx, start, func(data []byte) error { return g.emit(ctx, a, data) })
	g.mu.Lock()
	defer g.mu.Unlock()
	o, reason := classifyResult(status, err)
	switch {
	case o == outcome.NotRun && g.core.HasFrames(a.id):
		o, reason = outcome.Unknown, outcome.ReasonIncomplete
	case a.aborted && (o == outcome.Completed || o == outcome.Failed || reason == outcome.ReasonCanceled):
		// Crashes, and requests that provably did not run, keep their result.
		o, reason = outcome.Unknown, outcome.ReasonIncomplete
	}
	g.core.End(g.clock.Now(), a.id, o, reason, status, contentType)
	notify(a.sendReady)
	g.notifyIdle()
	g.removeFinished()
}

// classifyResult maps the result of Backend.Run to an outcome and a reason.
func classifyResult(status int, err error) (outcome.Outcome, outcome.Reason) {
	switch {
	case err == nil && status < http.StatusBadRequest:
		return outcome.Completed, outcome.ReasonNone
	case err == nil:
		return outcome.Failed, outcome.ReasonBackendError
	case errors.Is(err, ErrNotStarted):
		return outcome.NotRun, outcome.ReasonNoBackendServer
	case errors.Is(err, ErrBackendCrashed):
		return outcome.Unknown, outcome.ReasonBackendCrashed
	case errors.Is(err, ErrWeightsChanged):
		return outcome.Unknown, outcome.ReasonIncomplete
	case errors.Is(err, context.Canceled):
		return outcome.Unknown, outcome.ReasonCanceled
	default:
		return outcome.Unknown, outcome.ReasonBackendError
	}
}

// emit adds data to the response. It blocks while the replay buffer is full.
func (g *Gate) emit(ctx context.Context, a *activeAttempt, data []byte) error {
	for piece := range slices.Chunk(data, maxFrameData) {
		piece = slices.Clone(piece)
		for !g.tryAppend(a, piece) {
			select {
			case <-a.bufferSpace:
			case <-ctx.Done():
				return ctx.Err()
			}
		}
	}
	return nil
}

func (g *Gate) tryAppend(a *activeAttempt, piece []byte) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.core.AppendFrame(g.clock.Now(), a.id, piece) {
		return false
	}
	notify(a.sendReady)
	return true
}

// sendResponse sends the messages of a response from the cursor on until the record is
// removed. It is the only goroutine that sends them, so they are sent in order.
func (g *Gate) sendResponse(a *activeAttempt) {
	for {
		m, sender, epoch, removed := g.nextMessage(a)
		switch {
		case removed:
			return
		case m == nil:
			<-a.sendReady
			continue
		}
		err := sender.Send(m)
		g.messageSent(a, epoch, m, err)
	}
}

// nextMessage returns the message to send next, or nil if there is none now. removed is
// true if the attempt no longer exists.
func (g *Gate) nextMessage(a *activeAttempt) (m wire.Message, sender Sender, epoch uint64, removed bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.attempts[a.id] != a {
		return nil, nil, 0, true
	}
	if a.sender == nil || a.cursor > g.core.FrameCount(a.id) {
		return nil, nil, 0, false
	}
	return g.core.MessageAt(a.id, a.cursor), a.sender, a.connEpoch, false
}

// messageSent advances the cursor after a Send, or detaches the attempt if it failed.
func (g *Gate) messageSent(a *activeAttempt, epoch uint64, m wire.Message, err error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if a.connEpoch != epoch {
		return
	}
	if err != nil {
		g.detach(a)
		return
	}
	a.cursor++
	if _, end := m.(*wire.ResponseEnd); end {
		a.cursor = g.core.FrameCount(a.id) + 1
	}
}

// detach removes the connection of an attempt. The caller holds g.mu.
func (g *Gate) detach(a *activeAttempt) {
	a.sender = nil
	a.connEpoch++
	g.core.Detach(g.clock.Now(), a.id)
}

func (g *Gate) reattach(c Sender, m *wire.Reattach) wire.Message {
	g.mu.Lock()
	defer g.mu.Unlock()
	if reply := g.core.Reattach(g.clock.Now(), m); reply != nil {
		return reply
	}
	a := g.attempts[m.Attempt]
	a.sender, a.cursor = c, m.NextSequence
	a.connEpoch++
	if _, connected := g.conns[c]; !connected {
		g.detach(a)
	}
	notify(a.sendReady)
	return nil
}

func (g *Gate) ack(m *wire.ResponseAck) {
	g.mu.Lock()
	defer g.mu.Unlock()
	wasFull := g.core.ResponsesFull()
	g.core.Ack(m.Attempt, m.NextSequence)
	if a, ok := g.attempts[m.Attempt]; ok {
		notify(a.bufferSpace)
	}
	if wasFull {
		for _, a := range g.attempts {
			notify(a.bufferSpace)
		}
	}
	g.removeFinished()
}

func (g *Gate) cancel(m *wire.RequestCancel) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.core.Cancel(g.clock.Now(), m.Attempt) {
		if a, ok := g.attempts[m.Attempt]; ok {
			a.cancel()
		}
	}
	g.removeFinished()
}

// removeFinished stops the senders of attempts whose record was removed, and closes
// g.empty if the gate is draining and empty. The caller holds g.mu.
func (g *Gate) removeFinished() {
	for id, a := range g.attempts {
		if !g.core.HasRecord(id) {
			delete(g.attempts, id)
			notify(a.sendReady)
		}
	}
	if g.core.Draining() && g.core.Empty() && !g.emptyClosed {
		g.emptyClosed = true
		close(g.empty)
	}
}

package gateway

import (
	"time"

	"github.com/auburnbend/auburnbend/lib/admit"
)

const (
	// minTurnDelay and maxTurnDelay bound the time between two tries of a line that fail. It
	// doubles with each, so that waiting requests cost the placer little.
	minTurnDelay = 50 * time.Millisecond
	maxTurnDelay = 200 * time.Millisecond
)

// waitingRequest is a request in a waitLine.
type waitingRequest struct {
	lines  *waitLines
	line   *waitLine
	waiter *admit.Waiter
	// turn receives a value when the request may try to be placed. Each turn is ended by
	// endTurn or leave, so that one value fits.
	turn chan struct{}
}

// endTurn ends a turn without a placement. The next one follows after a delay.
func (w *waitingRequest) endTurn() {
	w.lines.mu.Lock()
	defer w.lines.mu.Unlock()
	line := w.line
	line.holder = nil
	line.order.PassTurn(w.waiter)
	line.delay = min(2*line.delay, maxTurnDelay)
	w.lines.schedule(line, line.delay)
}

// leave ends the wait, and the turn if the request has it. If it was placed, the next request
// has its turn at once, because there may be room for more.
func (w *waitingRequest) leave(placed bool) {
	w.lines.mu.Lock()
	defer w.lines.mu.Unlock()
	line := w.line
	line.order.Leave(w.waiter, placed, w.lines.now())
	w.lines.length--
	hadTurn := line.holder == w
	if hadTurn {
		line.holder = nil
	}
	switch {
	case placed:
		line.delay = minTurnDelay
		w.lines.giveTurn(line)
	case hadTurn:
		w.lines.schedule(line, line.delay)
	}
}

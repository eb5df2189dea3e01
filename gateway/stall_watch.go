package gateway

import (
	"errors"
	"io"
	"time"

	"github.com/auburnbend/auburnbend/lib/sse"
)

var (
	errTooManyComments = errors.New("too many comments before the first event")
	errCallerWrite     = errors.New("caller does not accept the response")
)

// stallWatch reads the events of a stream and starts a standby whenever none comes for
// longer than delay; zero starts none.
type stallWatch struct {
	request *request
	attempt *attempt
	// continues is set if the caller has the head of another server's stream.
	continues bool
	delay     time.Duration
	// silentSince is since when the server is waited for without an event with data or an
	// ID; zero after such an event. The time that the caller takes to accept an event is no
	// silence of the server.
	silentSince time.Time
	standby     *standby
	// winner is the attempt that has taken the stream over; nil if there is none.
	winner *attempt
}

func (r *request) newStallWatch(a *attempt, continues bool) *stallWatch {
	return &stallWatch{request: r, attempt: a, continues: continues, delay: r.stallLimit()}
}

// nextEvent returns the next event, and passes what comes before it and can be ignored on
// with write. A comment does not show that the stream makes progress.
func (w *stallWatch) nextEvent(write func([]byte) error) (sse.Event, error) {
	r := w.request
	w.attempt.conn.SetReadDeadline(r.stallDeadline())
	if w.delay > 0 {
		now := r.gateway.now()
		if w.silentSince.IsZero() {
			w.silentSince = now
		}
		w.arm(w.delay - now.Sub(w.silentSince))
	}
	event, err := w.attempt.events.Next()
	for err == nil && event.IsIgnorable {
		if write(event.Raw) != nil {
			w.settle(errCallerWrite)
			return event, errCallerWrite
		}
		event, err = w.attempt.events.Next()
	}
	if !w.standby.halt() {
		w.settle(w.failure(event, err))
	}
	if err == nil && (event.HasID || event.HasData) {
		w.silentSince = time.Time{}
	}
	return event, err
}

// failure is the error for which a stream cannot go on; nil if it can, or has ended as a
// whole.
func (w *stallWatch) failure(event sse.Event, err error) error {
	switch {
	case errors.Is(err, io.EOF):
		return nil
	case err != nil:
		return err
	}
	return w.request.checkEvent(event, false, w.continues, w.attempt.reply)
}

// arm lets a standby start after delay.
func (w *stallWatch) arm(delay time.Duration) {
	delay = max(delay, time.Nanosecond)
	if w.standby == nil {
		w.standby = w.request.newStandby(w.request.ctx, w.attempt, delay)
		return
	}
	w.standby.resume(delay)
}

func (w *stallWatch) settle(err error) {
	w.winner = w.standby.settle(err)
	w.standby = nil
}

// stop ends the watch. It is called when no read is in progress.
func (w *stallWatch) stop() { w.standby.release() }

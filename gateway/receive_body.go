package gateway

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/auburnbend/auburnbend/lib/eventlog"
	"github.com/auburnbend/auburnbend/lib/memory"
)

var errBodyTooSlow = errors.New("body too slow while others wait for memory")

const (
	// freeBodyBytes is what a body may take without a reservation. Callers that announce a
	// long body and send none get no room.
	freeBodyBytes = 16 << 10
	// bodyWaitShare is the part of a route's latency target for which a long body waits for
	// room, so that a refusal leaves the caller the time for another try.
	bodyWaitShare = 8
	// defaultBodyWait applies where the route has no latency target.
	defaultBodyWait = 250 * time.Millisecond
	// beyondMemoryRetryAfter is when a caller may retry that has found no room. Room is
	// returned whenever a request with a long body ends.
	beyondMemoryRetryAfter = 200 * time.Millisecond
)

// readInRoom reads the body into one buffer. A long body waits in the caller's connection
// until there is room for all of it: bodies that are held in part could wait for each other.
func (r *request) readInRoom(source io.Reader) ([]byte, error) {
	size := r.maxBodyBytes()
	if n := r.http.ContentLength; n > 0 {
		size = n
	}
	// One byte more than announced shows the end of the body.
	first := make([]byte, min(freeBodyBytes, size+1))
	n, err := memory.ReadFull(source, first, nil)
	if errors.Is(err, io.EOF) {
		return first[:n], nil
	}
	if err != nil {
		return nil, err
	}
	if err := r.reserveBody(size); err != nil {
		return nil, err
	}
	body := make([]byte, size+1)
	copy(body, first)
	control := http.NewResponseController(r.writer)
	guard := r.gateway.requestBudget.GuardProgress(func() { _ = control.SetReadDeadline(time.Unix(1, 0)) })
	more, err := memory.ReadFull(source, body[n:], guard)
	if guard.Stop() {
		return nil, errBodyTooSlow
	}
	if errors.Is(err, io.EOF) {
		return body[:n+more], nil
	}
	if err == nil {
		// The body ends before the buffer does: a longer one fails with its limit.
		err = io.ErrUnexpectedEOF
	}
	return nil, err
}

// reserveBody waits for room for a body, which is held until the end of the request and of
// the last attempt that sends it.
func (r *request) reserveBody(bytes int64) error {
	wait := r.route.TargetLatency / bodyWaitShare
	if wait <= 0 {
		wait = defaultBodyWait
	}
	wait = min(wait, r.bodyDeadline().Sub(r.gateway.now()))
	ctx, cancel := context.WithTimeout(r.ctx, wait)
	defer cancel()
	stop := context.AfterFunc(r.gateway.drain.ended, cancel)
	defer stop()
	room, err := r.gateway.requestBudget.Acquire(ctx, r.summary.Team, bytes)
	if err != nil {
		return err
	}
	r.bodyRoom = room.Share()
	return nil
}

// refuseBeyondMemory refuses a request that has found no room for its body.
func (r *request) refuseBeyondMemory() {
	r.gateway.config.Log.Log(eventlog.RequestBeyondMemory, "request", r.info.ID, "team", r.summary.Team, "route", r.summary.Route,
		"bytes", r.http.ContentLength, "held", r.gateway.requestBudget.Held())
	r.refuseEarly(func() {
		r.refuse(http.StatusServiceUnavailable, outcomeRefused, "no memory for the body", beyondMemoryRetryAfter)
	})
}

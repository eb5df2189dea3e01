package caller

import (
	"context"
	"errors"
	"io"
	"os"
	"slices"
	"time"

	"github.com/auburnbend/auburnbend/lib/eventlog"
	"github.com/auburnbend/auburnbend/lib/memory"
	"github.com/auburnbend/auburnbend/lib/outcome"
)

const (
	// freeBodyBytes is what a body may take without a reservation. Callers that announce a
	// long body and send none get no room.
	freeBodyBytes = 16 << 10
	// bodyWaitShare is the part of a class's first-token target for which a long body waits
	// for room, so that a refusal leaves the caller the time for another try.
	bodyWaitShare = 8
	// defaultBodyWait applies where the class has no target.
	defaultBodyWait = 250 * time.Millisecond
	// beyondMemoryRetryAfter is when a caller may retry that has found no room. Room is
	// returned whenever a request with a long body ends.
	beyondMemoryRetryAfter = 200 * time.Millisecond
)

var (
	errBodyTooLong = errors.New("body too long")
	errBodyTooSlow = errors.New("body too slow while others wait for memory")
)

// receive reads the body into the request, and reserves room for it. The room must be
// released at the end of the request also if an error is returned.
func (s *Server) receive(ctx context.Context, r *Request, b *body) error {
	if b.complete {
		return nil
	}
	if b.length != unknownLength && b.length <= prefetchedBytes {
		b.complete = true
		return s.readInRoom(ctx, r, b)
	}
	if err := b.conn.SetReadDeadline(time.Now().Add(r.Deadline.Sub(s.cfg.Clock.Now()))); err != nil {
		return err
	}
	stop := context.AfterFunc(ctx, b.interrupt)
	err := s.readInRoom(ctx, r, b)
	if !stop() {
		return context.Cause(ctx)
	}
	if err != nil {
		return err
	}
	b.complete = true
	return b.conn.SetReadDeadline(time.Time{})
}

// readInRoom reads a body. A long one waits in the caller's connection until there is room
// for all of it: bodies that are held in part could wait for each other.
func (s *Server) readInRoom(ctx context.Context, r *Request, b *body) error {
	limit := bodyLimit(r.Service)
	size := b.length
	if size == unknownLength {
		// One byte more than allowed shows a body that is too long.
		size = limit + 1
	}
	first, err := b.read(make([]byte, min(freeBodyBytes, size)), nil)
	if err == nil || int64(len(first)) == b.length {
		r.Body = first
		return nil
	}
	if err != errBodyContinues {
		return err
	}
	room, err := s.reserveBody(ctx, r, min(size, limit))
	r.Room = room.Share()
	if err != nil {
		return err
	}
	data := make([]byte, size)
	n := copy(data, first)
	guard := s.bodies.GuardProgress(b.interrupt)
	rest, err := b.read(data[n:], guard)
	n += len(rest)
	switch {
	case guard.Stop():
		return errBodyTooSlow
	case int64(n) == b.length:
	case err == errBodyContinues:
		return errBodyTooLong
	case err != nil:
		return err
	}
	if int64(n) <= size/2 {
		// A body of unknown length is often shorter than allowed.
		data = slices.Clone(data[:n])
		room.Shrink(int64(n))
	}
	r.Body = data[:n]
	return nil
}

// reserveBody waits for room for a body.
func (s *Server) reserveBody(ctx context.Context, r *Request, bytes int64) (*memory.Reservation, error) {
	wait := r.Class.FirstToken / bodyWaitShare
	if wait <= 0 {
		wait = defaultBodyWait
	}
	ctx, cancel := context.WithTimeout(ctx, min(wait, r.Deadline.Sub(s.cfg.Clock.Now())))
	defer cancel()
	return s.bodies.Acquire(ctx, string(r.Tenant.Name), bytes)
}

// notReceived returns the result of a request whose body has not been received: it has not
// run.
func (s *Server) notReceived(r *Request, b *body, err error) Result {
	result := Result{Outcome: outcome.NotRun, Reason: outcome.ReasonBodyNotReceived}
	switch {
	case errors.Is(err, ErrDrainEnded):
		result.Reason, result.RetryAfter, result.Detail = outcome.ReasonDraining, drainingRetryAfter, "this entry is stopping"
	case errors.Is(err, memory.ErrExhausted):
		s.cfg.Log.Log(eventlog.CallerBeyondMemory, "request", r.ID, "tenant", r.Tenant.Name, "service", r.Service.Name,
			"bytes", b.length, "held", s.bodies.Held())
		result.Reason, result.RetryAfter, result.Detail = outcome.ReasonMemoryExhausted, beyondMemoryRetryAfter, "no memory for the body"
	case errors.Is(err, errBodyTooSlow):
		result.Detail = errBodyTooSlow.Error()
	case errors.Is(err, errBodyTooLong):
		result.Reason, result.Detail = outcome.ReasonTooLarge, tooLarge(r.Service, "more").detail
	case errors.Is(err, os.ErrDeadlineExceeded):
		result.Detail = "body not received in time"
	case errors.Is(err, io.ErrUnexpectedEOF):
		result.Detail = "incomplete body"
	default:
		result.Reason, result.Detail = outcome.ReasonInvalid, "body: "+err.Error()
	}
	return result
}

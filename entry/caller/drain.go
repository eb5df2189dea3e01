package caller

import (
	"context"
	"errors"
	"sync/atomic"
	"time"
)

// ErrDrainEnded is the cause of the end of a Handler's context if its final response is
// due because the process stops.
var ErrDrainEnded = errors.New("process is stopping")

const (
	// maxResponseReserve is the part of a drain that is reserved for the final responses
	// to the requests that are still running. It is longer than the calls of the table
	// service that release the key of a request that has not run.
	maxResponseReserve = 3 * time.Second
	// responseReserveDivisor determines the reserve in a short drain: a quarter.
	responseReserveDivisor = 4
	// abortTime is the reserve in a drain that is aborted.
	abortTime = 300 * time.Millisecond
	// drainingRetryAfter is when a caller may retry that is refused because of a drain.
	// Other entries can serve the request at once.
	drainingRetryAfter = 100 * time.Millisecond
)

// drain is the state of a drain. It is safe for concurrent use.
type drain struct {
	// responsesDue is when running requests get their final responses; nil until Drain is
	// called, and the zero time if its context has no deadline.
	responsesDue atomic.Pointer[time.Time]
	// closing is set once no request is accepted any more.
	closing atomic.Bool
	// ended ends, with ErrDrainEnded, when running requests must get their final responses.
	ended context.Context
	end   context.CancelCauseFunc
}

func newDrain() *drain {
	ended, end := context.WithCancelCause(context.Background())
	return &drain{ended: ended, end: end}
}

// begin computes when final responses are due in a drain that ends with ctx, on the clock
// that returned now. The returned channel delivers a value then, or never if ctx has no
// deadline.
func (d *drain) begin(ctx context.Context, now time.Time) <-chan time.Time {
	deadline, ok := ctx.Deadline()
	if !ok {
		d.responsesDue.Store(&time.Time{})
		return nil
	}
	left := time.Until(deadline)
	left -= min(maxResponseReserve, left/responseReserveDivisor)
	due := now.Add(left)
	d.responsesDue.Store(&due)
	return time.After(left)
}

// refuses reports whether a request arrives so late in a drain that it is not accepted.
// Requests that may be repeated go to other entries. The others are accepted if their
// deadline is not after the time at which final responses are due.
func (d *drain) refuses(r *Request) bool {
	due := d.responsesDue.Load()
	switch {
	case d.closing.Load() || d.ended.Err() != nil:
		return true
	case due == nil:
		return false
	default:
		return r.Service.Repeatable || !due.IsZero() && r.Deadline.After(*due)
	}
}

// follow returns a context that also ends when the drain does. release must be called at
// the end of the request.
func (d *drain) follow(parent context.Context) (ctx context.Context, release func()) {
	ctx, cancel := context.WithCancelCause(parent)
	unregister := context.AfterFunc(d.ended, func() { cancel(ErrDrainEnded) })
	return ctx, func() {
		unregister()
		cancel(nil)
	}
}

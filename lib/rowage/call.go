package rowage

import (
	"context"
	"net/http/httptrace"
	"sync"
	"time"

	"github.com/auburnbend/auburnbend/lib/pause"
)

// Call is one call to a store.
type Call struct {
	pauses *pause.Monitor
	began  time.Time

	// mu guards answered, the earliest time at which the first byte of the answer may have
	// arrived; zero if that is unknown. A large answer takes seconds on narrow links.
	mu       sync.Mutex
	answered time.Time
}

// Begin returns the context for a call to a store that starts now.
func (t *Tracker) Begin(ctx context.Context) (context.Context, *Call) {
	c := &Call{pauses: t.pauses, began: t.pauses.Now()}
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotFirstResponseByte: c.noteAnswer}), c
}

func (c *Call) noteAnswer() {
	arrival := c.pauses.Arrival()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.answered = arrival
}

// waited reports whether the call was in progress for so long that changes from before it
// would have been answered earlier.
func (c *Call) waited() bool { return c.answeredAt().Sub(c.began) >= minWait }

// answeredAt returns the earliest time at which the answer may have been sent.
func (c *Call) answeredAt() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.answered.IsZero() {
		return later(c.pauses.Arrival(), c.began)
	}
	return later(c.answered, c.began)
}

package relay

import (
	"context"
	"time"

	"github.com/auburnbend/auburnbend/lib/watch"
)

// transfer is the progress of an answer of the store. The zero value is none.
type transfer struct {
	// began and progressed are when the first and the last data arrived; zero if none has.
	began, progressed time.Time
	// sound is set if the rows were recent when it began.
	sound bool
}

// extendsUntil returns the time until which followers may wait for the transfer instead of
// reading the store themselves; zero if they must not.
func (t *transfer) extendsUntil(confirmedAt time.Time, bound time.Duration) time.Time {
	if !t.sound {
		return time.Time{}
	}
	until, latest := t.began.Add(fraction(bound, readFraction)), confirmedAt.Add(fraction(bound, latestReadFraction))
	if latest.Before(until) {
		return latest
	}
	return until
}

// active reports whether data arrives often enough, and has done so for less than the bound,
// after which the answer is late in any case.
func (t *transfer) active(now time.Time, bound time.Duration) bool {
	return !t.began.IsZero() && now.Sub(t.progressed) <= fraction(bound, progressFraction) && now.Sub(t.began) <= bound
}

// trackTransfer returns the context of a call to the store whose progress the cache takes into
// account, and a function to be called when the call has failed, or when its rows are not stored.
func (c *Cache) trackTransfer(ctx context.Context) (callCtx context.Context, ended func()) {
	callCtx = watch.WithProgress(ctx, func() {
		now := time.Now()
		c.mu.Lock()
		defer c.mu.Unlock()
		if c.transfer.began.IsZero() {
			c.transfer.began = now
			c.transfer.sound = now.Sub(c.confirmedAt) <= fraction(c.config.MaxPropagation, staleFraction)
		}
		c.transfer.progressed = now
	})
	return callCtx, c.endTransfer
}

func (c *Cache) endTransfer() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.transfer = transfer{}
}

// receiving reports whether an answer of the store is arriving.
func (c *Cache) receiving(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.transfer.active(now, c.config.MaxPropagation)
}

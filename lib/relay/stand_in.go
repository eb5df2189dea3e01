package relay

import (
	"context"
	"errors"
	"time"
)

// standIn is the state of an instance that reads the store for others for a while although
// another one comes before it in the order. Followers of that one have asked for this. The
// zero value is an instance that does not.
type standIn struct {
	// until is the end of the time for which this instance stands in.
	until time.Time
	// asked is closed and replaced when the time begins; nil if nothing waits for it.
	asked chan struct{}
	// refusedUntil is the time until which it is not asked, as it could not read the store.
	refusedUntil time.Time
}

// ask extends the time until a later one.
func (s *standIn) ask(now, until time.Time) {
	if !s.active(now) && s.asked != nil {
		close(s.asked)
		s.asked = nil
	}
	s.until = until
}

func (s *standIn) active(now time.Time) bool { return now.Before(s.until) }

// await returns a channel that is closed when the time begins, or that is closed already.
func (s *standIn) await(now time.Time) <-chan struct{} {
	if s.active(now) {
		closed := make(chan struct{})
		close(closed)
		return closed
	}
	if s.asked == nil {
		s.asked = make(chan struct{})
	}
	return s.asked
}

// askToStandIn makes this instance read the store for a while.
func (c *Cache) askToStandIn(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !now.Before(c.standIn.refusedUntil) {
		c.standIn.ask(now, now.Add(fraction(c.config.MaxPropagation, standInFraction)))
	}
}

// endStandIn makes this instance follow the others again, and for a while whoever asks it to
// stand in: it cannot read the store.
func (c *Cache) endStandIn(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.standIn.until, c.standIn.refusedUntil = now, now.Add(fraction(c.config.MaxPropagation, refuseFraction))
}

// allowStandIn ends the time in which this instance refuses to stand in: it reads the store
// anyway, as it could follow no other instance.
func (c *Cache) allowStandIn() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.standIn.refusedUntil = time.Time{}
}

// refusesStandIn reports whether this instance does not stand in now.
func (c *Cache) refusesStandIn(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return now.Before(c.standIn.refusedUntil)
}

// standsIn reports whether this instance reads the store for others of an earlier rank.
func (c *Cache) standsIn(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.standIn.active(now)
}

// standInAsked returns a channel that is closed once this instance is asked to stand in.
func (c *Cache) standInAsked(now time.Time) <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.standIn.await(now)
}

// errStandInFailed means that a call to the store was ended because it had no answer in the
// time for which the instances that asked this one to stand in wait.
var errStandInFailed = errors.New("store does not answer the instance that stands in")

// limitStandIn returns the context of a call to the store that waits for changes, and a function
// to be called when it has ended. While this instance stands in although it could follow others,
// the call ends if no answer arrives in time, so that it does not fall behind those. After a
// failed call that followed no other instance the usual time limit applies: those are behind
// as well, and many short calls would find the store later.
func (s *Source) limitStandIn(ctx context.Context, wait time.Duration) (callCtx context.Context, stop func()) {
	s.stoodIn = s.cache.standsIn(time.Now()) && len(s.followable()) > 0
	if !s.stoodIn || s.storeFailed {
		return ctx, func() {}
	}
	callCtx, cancel := context.WithCancelCause(ctx)
	latest := time.Now().Add(wait + fraction(s.config.MaxPropagation, readFraction))
	go func() {
		timer := time.NewTimer(wait + s.holdTime())
		defer timer.Stop()
		for {
			select {
			case <-callCtx.Done():
				return
			case now := <-timer.C:
				if !s.cache.receiving(now) || now.After(latest) {
					cancel(errStandInFailed)
					return
				}
				timer.Reset(fraction(s.config.MaxPropagation, checkFraction))
			}
		}
	}()
	return callCtx, func() { cancel(nil) }
}

// leaveStandIn ends standing in after a failed call to the store, and reports whether other
// instances are to be asked now.
func (s *Source) leaveStandIn(ctx context.Context) bool {
	if ctx.Err() != nil || !s.stoodIn {
		return false
	}
	s.stoodIn = false
	s.cache.endStandIn(time.Now())
	s.deadline.failed()
	return !s.storeFailed && len(s.followable()) > 0
}

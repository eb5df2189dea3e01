package replica

import (
	"context"

	"golang.org/x/time/rate"
)

const (
	// uploadShare is the part of the instance's link that pieces may use. Stream
	// events leave on the same link and are late after 120 ms.
	uploadShare = 0.8
	// uploadBurstBytes is the amount that may be sent at once: two pieces of the
	// usual size.
	uploadBurstBytes = 64 << 10
)

// uploadSlots is the number of concurrent piece uploads. A single one doesn't
// fill the link, because the peer acknowledges it over several round trips.
const uploadSlots = 2

// uploadLimiter limits the concurrency and the rate of piece uploads. It is safe
// for concurrent use.
type uploadLimiter struct {
	rate  *rate.Limiter
	slots chan struct{}
}

func newUploadLimiter(linkRate float64) *uploadLimiter {
	u := &uploadLimiter{rate: rate.NewLimiter(rate.Inf, uploadBurstBytes), slots: make(chan struct{}, uploadSlots)}
	u.setLinkRate(linkRate)
	return u
}

// setLinkRate sets the bandwidth of the link in bytes per second; zero means
// unlimited.
func (u *uploadLimiter) setLinkRate(linkRate float64) {
	limit := rate.Inf
	if linkRate > 0 {
		limit = rate.Limit(uploadShare * linkRate)
	}
	u.rate.SetLimit(limit)
}

// acquire waits until a piece of the given size in bytes may be sent, and
// returns a function to call once it has been sent. It returns an error if ctx
// ends first. An engine that serves nothing has no streams to protect, so its
// instance sends without a limit.
func (u *uploadLimiter) acquire(ctx context.Context, size int, serving bool) (func(), error) {
	if !serving {
		return func() {}, nil
	}
	select {
	case <-ctx.Done():
		return nil, ctx.Err()
	case u.slots <- struct{}{}:
	}
	if err := u.rate.WaitN(ctx, min(size, uploadBurstBytes)); err != nil {
		<-u.slots
		return nil, err
	}
	return func() { <-u.slots }, nil
}

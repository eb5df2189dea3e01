package replica

import (
	"context"

	"golang.org/x/time/rate"
)

const (
	// uploadShare is the share of the instance's link that pieces may take. The
	// events of streams leave on the same link and are late after 120 ms.
	uploadShare = 0.8
	// uploadBurst is the size in bytes that may leave at once: two usual pieces.
	uploadBurst = 64 << 10
)

// uploadSlots is the number of pieces that leave at the same time. One piece
// alone does not fill the link: its peer acknowledges it in several round trips.
const uploadSlots = 2

// uploads bounds how fast pieces leave the instance: a few at a time, and below
// the rate of its link. It is safe for concurrent use.
type uploads struct {
	limiter *rate.Limiter
	slot    chan struct{}
}

func newUploads(linkRate float64) *uploads {
	u := &uploads{limiter: rate.NewLimiter(rate.Inf, uploadBurst), slot: make(chan struct{}, uploadSlots)}
	u.setLinkRate(linkRate)
	return u
}

// setLinkRate changes the bandwidth of the link in bytes per second; zero sets no
// limit.
func (u *uploads) setLinkRate(linkRate float64) {
	limit := rate.Inf
	if linkRate > 0 {
		limit = rate.Limit(uploadShare * linkRate)
	}
	u.limiter.SetLimit(limit)
}

// acquire waits until a piece of a size in bytes may leave. The returned
// function is called when it has left. An engine that serves nothing has no
// streams to protect: its instance sends at full rate.
func (u *uploads) acquire(ctx context.Context, size int, serving bool) (func(), error) {
	if !serving {
		return func() {}, nil
	}
	select {
	case <-ctx.Done():
		return nil, ctx.Err()
	case u.slot <- struct{}{}:
	}
	if err := u.limiter.WaitN(ctx, min(size, uploadBurst)); err != nil {
		<-u.slot
		return nil, err
	}
	return func() { <-u.slot }, nil
}

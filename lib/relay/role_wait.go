package relay

import (
	"context"
	"time"
)

// awaitRegion delays the first read of the table until it is known which instances of the
// region have it, or that there are none, for confirmFraction of the bound at most.
func (s *Source) awaitRegion(ctx context.Context) {
	if s.cache.known().Revision >= 0 || s.awaitedRegion {
		return
	}
	s.awaitedRegion = true
	deadline := time.Now().Add(fraction(s.config.MaxPropagation, confirmFraction))
	ticker := time.NewTicker(roleCheckInterval)
	defer ticker.Stop()
	for s.role().Pending && time.Now().Before(deadline) {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// awaitRole delays the first call for changes until the role of this instance is known:
// an instance that has just started learns of the others from the table itself. After
// confirmFraction of the bound it reads the store anyway, and at once if the table was empty:
// what it needs may be about to be written.
func (s *Source) awaitRole(ctx context.Context, wait time.Duration) {
	if !s.startedAt.IsZero() || wait <= 0 {
		return
	}
	s.startedAt = time.Now()
	if s.cache.empty() {
		return
	}
	deadline := time.Now().Add(fraction(s.config.MaxPropagation, confirmFraction))
	ticker := time.NewTicker(roleCheckInterval)
	defer ticker.Stop()
	for !s.role().known() && time.Now().Before(deadline) {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// watchRole calls changed when the role of this instance changes while a call to the store
// waits.
func (s *Source) watchRole(ctx context.Context, changed func()) {
	asked := s.cache.standInAsked(time.Now())
	var tick <-chan time.Time
	if s.settling() && !s.role().known() {
		ticker := time.NewTicker(roleCheckInterval)
		defer ticker.Stop()
		tick = ticker.C
	}
	for {
		select {
		case <-ctx.Done():
			return
		case <-asked:
		case <-tick:
			if !s.role().known() {
				continue
			}
		}
		if !s.cache.receiving(time.Now()) {
			changed()
		}
		return
	}
}

// settling reports whether this instance has started a short time ago: the instances of a
// region that start together do not know all others yet.
func (s *Source) settling() bool {
	return time.Since(s.startedAt) < settleBounds*s.config.MaxPropagation
}

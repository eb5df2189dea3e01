package admit

import "time"

// limitShare is the share of the limit up to which requests are admitted. It decreases with
// each refusal of requests that go before them, and increases while none is refused.
type limitShare struct {
	// atRefusal is the share after the last refusal.
	atRefusal float64
	refusedAt time.Time
}

// at returns the share, between minShare and 1.
func (s *limitShare) at(now time.Time) float64 {
	if s.refusedAt.IsZero() {
		return 1
	}
	return min(1, s.atRefusal+recovery(now.Sub(s.refusedAt)))
}

// decrease reduces the share by a part of it.
func (s *limitShare) decrease(part float64, now time.Time) {
	s.atRefusal = max(minShare, s.at(now)*(1-part))
	s.refusedAt = now
}

// recovery is the increase of a share in the time since the last refusal.
func recovery(elapsed time.Duration) float64 {
	t := elapsed.Seconds()
	const accelerated = maxRecovery / recoveryAcceleration
	if t <= accelerated {
		return float64(recoveryAcceleration / 2 * t * t)
	}
	return maxRecovery*accelerated/2 + float64(maxRecovery*(t-accelerated))
}

package admit

import "time"

// limitShare is the share of the limit up to which requests are admitted. It decreases with
// each refusal of requests that go before them, and increases while none is refused.
type limitShare struct {
	// atRefusal is the share after the last refusal.
	atRefusal float64
	refusedAt time.Time
	// recovery is the time in which the share increases from minShare to 1.
	recovery time.Duration
}

// at returns the share, between minShare and 1.
func (s *limitShare) at(now time.Time) float64 {
	if s.refusedAt.IsZero() {
		return 1
	}
	// The cube keeps a share low between refusals in short succession.
	t := now.Sub(s.refusedAt).Seconds() / s.recovery.Seconds()
	return min(1, s.atRefusal+float64((1-minShare)*t*t*t))
}

// decrease reduces the share by a part of it.
func (s *limitShare) decrease(part float64, now time.Time) {
	s.atRefusal = max(minShare, s.at(now)*(1-part))
	s.refusedAt = now
}

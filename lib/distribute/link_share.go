package distribute

import "time"

// LinkShareConfig configures a LinkShare. Zero values are replaced by defaults.
type LinkShareConfig struct {
	// Min and Max limit the share of the link, greater than 0 and at most 1.
	// Min keeps transfers moving when live requests are slow for another
	// reason.
	Min, Max float64
	// TargetFirstToken is the time to first token that live requests must meet.
	TargetFirstToken time.Duration
	// Threshold is the fraction of TargetFirstToken at which the share starts
	// to decrease.
	Threshold float64
	// Decrease is the factor applied to the share at or above the threshold.
	Decrease float64
	// Increase is added to the share below the threshold.
	Increase float64
	// Interval is the minimum time between two adjustments, so that the effect
	// of one is visible in the observed times before the next.
	Interval time.Duration
}

func (c *LinkShareConfig) applyDefaults() {
	defaultTo(&c.Min, 0.05)
	defaultTo(&c.Max, 0.8)
	defaultTo(&c.TargetFirstToken, 1400*time.Millisecond)
	defaultTo(&c.Threshold, 0.8)
	defaultTo(&c.Decrease, 0.5)
	defaultTo(&c.Increase, 0.05)
	defaultTo(&c.Interval, time.Second)
}

// LinkShare controls the share of a link that transfers use, so that they yield
// to live requests. The share increases additively and decreases
// multiplicatively.
type LinkShare struct {
	cfg   LinkShareConfig
	share float64
	last  time.Time
}

// NewLinkShare returns a LinkShare that starts at the maximum share.
func NewLinkShare(cfg LinkShareConfig) *LinkShare {
	cfg.applyDefaults()
	return &LinkShare{cfg: cfg, share: cfg.Max}
}

// Observe records the recent time to first token, or 0 if there were no live
// requests, and returns the share to use from now on.
func (s *LinkShare) Observe(now time.Time, firstToken time.Duration) float64 {
	if !s.last.IsZero() && now.Sub(s.last) < s.cfg.Interval {
		return s.share
	}
	s.last = now
	if firstToken >= time.Duration(s.cfg.Threshold*float64(s.cfg.TargetFirstToken)) {
		s.share = max(s.share*s.cfg.Decrease, s.cfg.Min)
	} else {
		s.share = min(s.share+s.cfg.Increase, s.cfg.Max)
	}
	return s.share
}

// SetMax sets the maximum share, greater than 0 and at most 1. It may change
// while transfers run.
func (s *LinkShare) SetMax(maxShare float64) {
	s.cfg.Max = maxShare
	s.cfg.Min = min(s.cfg.Min, maxShare)
	s.share = min(s.share, maxShare)
}

// Share returns the current share.
func (s *LinkShare) Share() float64 { return s.share }

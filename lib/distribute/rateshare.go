package distribute

import "time"

// LinkShareConfig holds the settings of a RateShare. Zero values get defaults.
type LinkShareConfig struct {
	// Min and Max bound the share of the link, over 0 and up to 1. Min keeps a
	// transfer moving while live requests are slow for another reason.
	Min, Max float64
	// TargetFirstToken is the time to first token that live requests must keep.
	TargetFirstToken time.Duration
	// Threshold is the part of Target from which on the share falls.
	Threshold float64
	// Decrease multiplies the share when the target is near.
	Decrease float64
	// Increase is added to the share otherwise.
	Increase float64
	// Interval is the time between two steps: a step's effect must be visible in
	// the observed times before the next one.
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

// LinkShare sets the share of a link that transfers use, so that they yield to
// live requests.
type LinkShare struct {
	cfg   LinkShareConfig
	share float64
	last  time.Time
}

// NewLinkShare returns a RateShare that starts at its maximum.
func NewLinkShare(cfg LinkShareConfig) *LinkShare {
	cfg.applyDefaults()
	return &LinkShare{cfg: cfg, share: cfg.Max}
}

// Observe takes the recent time to first token, or 0 if no live requests ran,
// and returns the share to use from now on.
func (r *LinkShare) Observe(now time.Time, firstToken time.Duration) float64 {
	if !r.last.IsZero() && now.Sub(r.last) < r.cfg.Interval {
		return r.share
	}
	r.last = now
	if firstToken >= time.Duration(r.cfg.Threshold*float64(r.cfg.TargetFirstToken)) {
		r.share = max(r.share*r.cfg.Decrease, r.cfg.Min)
	} else {
		r.share = min(r.share+r.cfg.Increase, r.cfg.Max)
	}
	return r.share
}

// SetMax sets the largest share, over 0 and up to 1, which an operator may change
// while transfers run.
func (r *LinkShare) SetMax(most float64) {
	r.cfg.Max = most
	r.cfg.Min = min(r.cfg.Min, most)
	r.share = min(r.share, most)
}

// Share returns the share in use.
func (r *LinkShare) Share() float64 { return r.share }

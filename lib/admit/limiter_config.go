package admit

import "time"

// LimiterConfig holds the parameters of a Limiter. Zero fields take the
// defaults.
type LimiterConfig struct {
	// FirstToken and BetweenTokens are the targets that 95 in 100 answers keep.
	FirstToken, BetweenTokens time.Duration
	// Min and Max bound the limit; Initial is where it starts.
	Min, Max, Initial int
	// TargetFraction is the share of the targets that the limiter steers to. The rest is
	// room for the spread around the mean.
	TargetFraction float64
	// EngineShare is the part of the first-token target that a backend server may
	// use. The rest is left for the queue of the entry, which is fair and sheds
	// early; a queue inside the engine does neither.
	EngineShare float64
	// Interval is the least time between two changes.
	Interval time.Duration
	// MinSamples is the least number of observations for a change.
	MinSamples int
	// BackoffRatio bounds the factor of one decrease.
	BackoffRatio float64
}

func (c *LimiterConfig) applyDefaults() {
	if c.FirstToken <= 0 {
		c.FirstToken = 1400 * time.Millisecond
	}
	if c.BetweenTokens <= 0 {
		c.BetweenTokens = 53 * time.Millisecond
	}
	if c.Min <= 0 {
		c.Min = 1
	}
	if c.Max <= 0 {
		c.Max = 256
	}
	if c.Initial <= 0 {
		c.Initial = 8
	}
	c.Initial = min(max(c.Initial, c.Min), c.Max)
	if c.TargetFraction <= 0 {
		c.TargetFraction = 0.9
	}
	if c.EngineShare <= 0 {
		c.EngineShare = 0.3
	}
	if c.Interval <= 0 {
		c.Interval = 500 * time.Millisecond
	}
	if c.MinSamples <= 0 {
		c.MinSamples = 4
	}
	if c.BackoffRatio <= 0 {
		c.BackoffRatio = 0.7
	}
}

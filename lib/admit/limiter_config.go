package admit

import "time"

// LimiterConfig holds the parameters of a Limiter. Zero fields take their
// defaults.
type LimiterConfig struct {
	// FirstToken and BetweenTokens are the latency targets for 95 % of the
	// answers.
	FirstToken, BetweenTokens time.Duration
	// Min and Max bound the limit. Initial is its starting value.
	Min, Max, Initial int
	// TargetFraction is the fraction of the targets that the limiter aims for.
	// The remainder absorbs the variance around the mean.
	TargetFraction float64
	// EngineShare is the fraction of the first-token target that a backend server
	// may use. The rest is left for the queue of the entry, which is fair and
	// rejects early, unlike a queue inside the engine.
	EngineShare float64
	// Interval is the minimum time between two changes of the limit.
	Interval time.Duration
	// MinSamples is the minimum number of observations for a change.
	MinSamples int
	// BackoffRatio is the smallest factor of a single decrease.
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

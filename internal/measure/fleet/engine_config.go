package fleet

import "time"

// EngineConfig describes the model of one engine. The defaults make the time
// between tokens reach 53 ms at about 35 sequences with one prefill running.
type EngineConfig struct {
	// MaxBatch is the largest batch.
	MaxBatch int
	// StepBase is the time of a step without work, StepPerSequence the time
	// that each decoding sequence adds, StepPerToken that of a prefilled token.
	StepBase, StepPerSequence, StepPerPrefillToken time.Duration
	// PrefillChunk is the most prompt tokens that one step prefills.
	PrefillChunk int
	// CacheBlocks is the size of the prefix cache in blocks.
	CacheBlocks int
	// ReportInterval and ReportLag say how often load is sampled and how late it
	// arrives. CacheLag is the delay of cache events.
	ReportInterval, ReportDelay, CacheEventDelay time.Duration
	// CacheEventLoss is the share of cache events that are lost.
	CacheEventLoss float64
}

// TokensPerBlock is the number of tokens in a prefix block.
const TokensPerBlock = 64

func (c *EngineConfig) applyDefaults() {
	if c.MaxBatch == 0 {
		c.MaxBatch = 64
	}
	if c.StepBase == 0 {
		c.StepBase = 16 * time.Millisecond
	}
	if c.StepPerSequence == 0 {
		c.StepPerSequence = 700 * time.Microsecond
	}
	if c.StepPerPrefillToken == 0 {
		c.StepPerPrefillToken = 50 * time.Microsecond
	}
	if c.PrefillChunk == 0 {
		c.PrefillChunk = 256
	}
	if c.CacheBlocks == 0 {
		c.CacheBlocks = 240
	}
	if c.ReportInterval == 0 {
		c.ReportInterval = time.Second
	}
	if c.ReportDelay == 0 {
		c.ReportDelay = 500 * time.Millisecond
	}
	if c.CacheEventDelay == 0 {
		c.CacheEventDelay = 300 * time.Millisecond
	}
	if c.CacheEventLoss == 0 {
		c.CacheEventLoss = 0.01
	}
}

// stepTime returns the time of a step.
func (c *EngineConfig) stepTime(decoding, prefilled int) time.Duration {
	return c.StepBase + time.Duration(decoding)*c.StepPerSequence + time.Duration(prefilled)*c.StepPerPrefillToken
}

// slower returns the same engine on an accelerator that takes half as long
// again for everything.
func (c EngineConfig) slower() EngineConfig {
	c.StepBase += c.StepBase / 2
	c.StepPerSequence += c.StepPerSequence / 2
	c.StepPerPrefillToken += c.StepPerPrefillToken / 2
	return c
}

package fleet

import "time"

// EngineConfig describes the model of one engine. The defaults make the time
// between tokens reach 53 ms at about 35 sequences with one prefill running.
type EngineConfig struct {
	// Slots is the largest batch.
	Slots int
	// StepBase is the time of a step without work, StepPerSequence the time
	// that each decoding sequence adds, StepPerToken that of a prefilled token.
	StepBase, StepPerSequence, StepPerToken time.Duration
	// PrefillChunk is the most prompt tokens that one step prefills.
	PrefillChunk int
	// CacheBlocks is the size of the prefix cache in blocks.
	CacheBlocks int
	// ReportEvery and ReportLag say how often load is sampled and how late it
	// arrives. CacheLag is the delay of cache events.
	ReportEvery, ReportLag, CacheLag time.Duration
	// CacheLoss is the share of cache events that are lost.
	CacheLoss float64
}

// BlockTokens is the number of tokens in a prefix block.
const BlockTokens = 64

func (c *EngineConfig) applyDefaults() {
	if c.Slots == 0 {
		c.Slots = 64
	}
	if c.StepBase == 0 {
		c.StepBase = 16 * time.Millisecond
	}
	if c.StepPerSequence == 0 {
		c.StepPerSequence = 700 * time.Microsecond
	}
	if c.StepPerToken == 0 {
		c.StepPerToken = 50 * time.Microsecond
	}
	if c.PrefillChunk == 0 {
		c.PrefillChunk = 256
	}
	if c.CacheBlocks == 0 {
		c.CacheBlocks = 240
	}
	if c.ReportEvery == 0 {
		c.ReportEvery = time.Second
	}
	if c.ReportLag == 0 {
		c.ReportLag = 500 * time.Millisecond
	}
	if c.CacheLag == 0 {
		c.CacheLag = 300 * time.Millisecond
	}
	if c.CacheLoss == 0 {
		c.CacheLoss = 0.01
	}
}

// stepTime returns the time of a step.
func (c *EngineConfig) stepTime(decoding, prefilled int) time.Duration {
	return c.StepBase + time.Duration(decoding)*c.StepPerSequence + time.Duration(prefilled)*c.StepPerToken
}

// slower returns the same engine on an accelerator that takes half as long
// again for everything.
func (c EngineConfig) slower() EngineConfig {
	c.StepBase += c.StepBase / 2
	c.StepPerSequence += c.StepPerSequence / 2
	c.StepPerToken += c.StepPerToken / 2
	return c
}

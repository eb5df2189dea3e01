package fleet

import "time"

// EngineConfig describes one modelled engine. Zero fields take defaults, with
// which the time between tokens reaches 53 ms at about 35 sequences with one
// prefill running.
type EngineConfig struct {
	// MaxBatch is the maximum number of sequences in a batch.
	MaxBatch int
	// StepBase is the duration of a step without work. Each decoding sequence
	// adds StepPerSequence and each prefilled token StepPerPrefillToken.
	StepBase, StepPerSequence, StepPerPrefillToken time.Duration
	// PrefillChunk is the maximum number of prompt tokens prefilled in one step.
	PrefillChunk int
	// CacheBlocks is the size of the prefix cache in blocks.
	CacheBlocks int
	// ReportInterval is the time between two load samples and ReportDelay the
	// time until a sample reaches the entries. CacheEventDelay is both the
	// interval and the delay of cache events.
	ReportInterval, ReportDelay, CacheEventDelay time.Duration
	// CacheEventLoss is the share of cache events that are lost.
	CacheEventLoss float64
}

// TokensPerBlock is the number of tokens in a block of a prefix.
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

// stepTime returns the duration of a step with the given number of decoding
// sequences and prefilled tokens.
func (c *EngineConfig) stepTime(decoding, prefilled int) time.Duration {
	return c.StepBase + time.Duration(decoding)*c.StepPerSequence + time.Duration(prefilled)*c.StepPerPrefillToken
}

// slower returns the same engine on an accelerator whose steps take 1.5 times as
// long.
func (c EngineConfig) slower() EngineConfig {
	c.StepBase += c.StepBase / 2
	c.StepPerSequence += c.StepPerSequence / 2
	c.StepPerPrefillToken += c.StepPerPrefillToken / 2
	return c
}

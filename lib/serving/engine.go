package serving

import "time"

// Engine contains the declared speed and capacity of a service's model engines.
type Engine struct {
	// Slots is the number of requests that run concurrently.
	Slots int
	// KVCacheTokens is the number of context tokens that fit into the KV cache.
	KVCacheTokens int
	// StepTime is the base duration of one decode step, without any sequences.
	StepTime time.Duration
	// StepTimePerSequence is added to a step for each request that is decoding.
	StepTimePerSequence time.Duration
	// StepTimePer1kContext is added to a step for each 1,000 context tokens of the
	// requests that are decoding.
	StepTimePer1kContext time.Duration
	// PrefillTokensPerSecond is the prefill rate in prompt tokens per second.
	PrefillTokensPerSecond float64
	// PrefillTimePerMillionPairs is added to the prefill for each million pairs of a
	// token and an earlier token.
	PrefillTimePerMillionPairs time.Duration
	// StepsPerPrefillChunk is the number of decode steps between two prefill chunks.
	StepsPerPrefillChunk int
	// PrefillChunkTokens is the maximum number of prompt tokens in a prefill chunk.
	PrefillChunkTokens int
	// MeanPromptTokens and MeanOutputTokens are the mean token counts of a request.
	MeanPromptTokens, MeanOutputTokens int
	// Layers is the number of layers of the model.
	Layers int
	// LoadReportLag is the age of a load report when it is read over the network.
	LoadReportLag time.Duration
	// PieceCount and PieceBytes are the number and size of the pieces of the weights.
	PieceCount, PieceBytes int
	// Models are the names of the models that the engines may serve.
	Models []string
}

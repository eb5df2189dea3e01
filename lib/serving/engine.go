package serving

import "time"

// Engine holds the declared speed and size of the model engines of a service.
type Engine struct {
	// Slots is the number of requests that run at the same time.
	Slots int
	// KVCacheTokens is the number of tokens of context that fit into memory.
	KVCacheTokens int
	// StepTime is the duration of one token step of an empty batch.
	StepTime time.Duration
	// StepTimePerSequence is added to a step for each request that generates tokens.
	StepTimePerSequence time.Duration
	// StepTimePer1kContext is added to a step for each 1,000 tokens of context of these
	// requests.
	StepTimePer1kContext time.Duration
	// PrefillTokensPerSecond is in prompt tokens per second.
	PrefillTokensPerSecond float64
	// PrefillTimePerMillionPairs is added to the prefill for each million pairs of a token and an
	// earlier one.
	PrefillTimePerMillionPairs time.Duration
	// StepsPerPrefillChunk is the number of token steps between two pieces of prefill.
	StepsPerPrefillChunk int
	// PrefillChunkTokens bounds the prompt tokens that one pass prefills.
	PrefillChunkTokens int
	// MeanPromptTokens and UsualAnswer are mean token counts of a request.
	MeanPromptTokens, MeanOutputTokens int
	// Layers is the number of layers of the model.
	Layers int
	// LoadReportLag is the age of a load report that is read over the network.
	LoadReportLag time.Duration
	// PieceCount and PieceBytes give the size of the weights.
	PieceCount, PieceBytes int
	// Models are the names of the models that the engines may serve.
	Models []string
}

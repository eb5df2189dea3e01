package gateway

import "time"

// RequestInfo is what a caller states about its request in the headers.
type RequestInfo struct {
	// ID identifies this attempt of the caller.
	ID string
	// APIKey is the caller's key; empty if it sent none.
	APIKey string
	// Timeout is how long the caller waits for the response; zero if it did not say.
	Timeout time.Duration
	// Model is the requested model; empty for plain services.
	Model string
	// PromptTokens is the length of the prompt, MaxTokens the limit on the length of
	// the output.
	PromptTokens, MaxTokens int
	// PromptParts identify the parts of the prompt that other prompts may have as well.
	PromptParts []string
	// ExpectedTokens is the caller's own estimate of the output length; zero if it gave
	// none.
	ExpectedTokens int
	// LastEventID is the last stream event that the caller has received; negative if it
	// does not resume a stream.
	LastEventID int64
}

package gateway

import "time"

// RequestInfo is what a caller says about its request.
type RequestInfo struct {
	// ID names this try of the caller.
	ID string
	// APIKey is the caller's key; empty if it sent none.
	APIKey string
	// Timeout is how long the caller waits; zero if it did not say.
	Timeout time.Duration
	// Model is the wanted model; empty for plain services.
	Model string
	// PromptTokens and MaxTokens are the length of the prompt and the bound of
	// the answer.
	PromptTokens, MaxTokens int
	// ExpectedTokens is the caller's own estimate of the answer; zero if it gave
	// none.
	ExpectedTokens int
	// LastEventID is the last event that the caller has; negative if it resumes
	// nothing.
	LastEventID int64
}

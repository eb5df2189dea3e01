package engine

import "time"

// LoadReport is the load of an engine as it was some time ago.
type LoadReport struct {
	Running  int `json:"running"`
	Queued   int `json:"queued"`
	Capacity int `json:"capacity"`
	// FirstTokenMillis and BetweenTokensMillis are recent means in
	// milliseconds.
	FirstTokenMillis    float64 `json:"first_token_ms"`
	BetweenTokensMillis float64 `json:"between_tokens_ms"`
	// AgeMillis is the age of the report when it was sent, in milliseconds.
	AgeMillis int64 `json:"age_ms"`
}

// Age returns the age of the report when it was sent.
func (r LoadReport) Age() time.Duration { return time.Duration(r.AgeMillis) * time.Millisecond }

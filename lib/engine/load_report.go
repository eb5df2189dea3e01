package engine

import "time"

// LoadReport is the load of a backend server at some time in the past.
type LoadReport struct {
	// Running and Queued are numbers of requests. Capacity is the number of
	// requests that can run concurrently.
	Running  int `json:"running"`
	Queued   int `json:"queued"`
	Capacity int `json:"capacity"`
	// FirstTokenMillis and BetweenTokensMillis are recent mean latencies in
	// milliseconds.
	FirstTokenMillis    float64 `json:"first_token_ms"`
	BetweenTokensMillis float64 `json:"between_tokens_ms"`
	// AgeMillis is the age of the measurement when the report was sent.
	AgeMillis int64 `json:"age_ms"`
}

// Age returns AgeMillis as a duration.
func (r LoadReport) Age() time.Duration { return time.Duration(r.AgeMillis) * time.Millisecond }

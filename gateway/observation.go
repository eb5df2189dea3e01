package gateway

import "time"

// Observation is the end of one request, for logs and metrics.
type Observation struct {
	ID, Route, Service, Team string
	Outcome                  string
	// Reason tells more about outcomes other than answered.
	Reason string
	Status int
	// ContentFingerprint is the fingerprint of the request's content if it was needed; empty
	// otherwise.
	ContentFingerprint string
	// Server is the last backend server; empty if none had the request.
	Server string
	// Predicted, Occupancy and LoadAge are what the last placement rested on.
	Predicted, LoadAge time.Duration
	Occupancy          int
	// PlacedBy is the address of the entry that chose the server, or refused the
	// request; empty for this one.
	PlacedBy string
	// ExcludedServers names servers that a refused request did not get because they leave or
	// want a pause.
	ExcludedServers string
	// RetryAfter is when a refused caller was told to come back.
	RetryAfter time.Duration
	// Timeout is the earlier one of the caller's limit and the route's timeout; zero
	// for none.
	Timeout time.Duration
	// Attempts counts the backend servers that had the request.
	Attempts int
	// ConfigVersion is the configuration that decided.
	ConfigVersion int64
	// TimeToFirstByte is the time to the first byte of the answer, Total the whole time.
	TimeToFirstByte, TotalTime time.Duration
	// LongestGap is the longest pause between events of a stream.
	LongestGap time.Duration
	Events     int
}

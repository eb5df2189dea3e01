package gateway

import "time"

// Observation describes one request at its end, for logs and metrics.
type Observation struct {
	ID, Route, Service, Team string
	Outcome                  string
	// Reason details outcomes other than answered.
	Reason string
	Status int
	// ContentFingerprint identifies the content of the request; empty if it was not
	// computed.
	ContentFingerprint string
	// Server is the last backend server; empty if none had the request.
	Server string
	// Predicted, LoadAge and Occupancy are those of the last lease.
	Predicted, LoadAge time.Duration
	Occupancy          int
	// WeightsVersion is the version that the last engine was asked to run the request with;
	// zero for none. WeightsLeft is the time from the dispatch until that version was to
	// expire; negative if it was not to.
	WeightsVersion int
	WeightsLeft    time.Duration
	// PlacedBy is the address of the entry that chose the server or refused the
	// request; empty for this one.
	PlacedBy string
	// Waited is the time for which the request has waited for a placement.
	Waited time.Duration
	// ExcludedServers lists servers that were not considered for a refused request
	// because they are draining or have asked for a pause.
	ExcludedServers string
	// RetryAfter is the time after which a refused caller was told to retry.
	RetryAfter time.Duration
	// Timeout is the shorter one of the caller's and the route's timeouts; zero for
	// none.
	Timeout time.Duration
	// Attempts counts the backend servers that the request was sent to.
	Attempts int
	// ConfigVersion is the version of the configuration that the request was served
	// with.
	ConfigVersion int64
	// TimeToFirstByte is the time from the arrival of the request to the first byte of
	// the response, TotalTime that to its end.
	TimeToFirstByte, TotalTime time.Duration
	// LongestGap is the longest time between two events of a stream.
	LongestGap time.Duration
	Events     int
}

// describeWeights records the weights of a request that is dispatched now, and their
// deadline, which may be zero.
func (o *Observation) describeWeights(version int, deadline, now time.Time) {
	o.WeightsVersion, o.WeightsLeft = version, -time.Millisecond
	if !deadline.IsZero() {
		o.WeightsLeft = deadline.Sub(now)
	}
}

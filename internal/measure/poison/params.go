package poison

import "time"

// Params describes one run.
type Params struct {
	Entries int
	Agents  int
	// Callers send the poison request at the same time, each Sends times in
	// sequence, under new ids and to random entries.
	Callers        int
	SendsPerCaller int
	Settle         time.Duration
	// StartDelay is when the callers begin. The later, the more of the innocent
	// contents were answered before.
	StartDelay time.Duration
	Seed       uint64
	// Baseline replaces the monitors by three plain retries per sending.
	Baseline bool
	// SlowUpdates delays the updates between entries by up to half of Settle,
	// which is the limit of the stated guarantee.
	SlowUpdates bool
}

const (
	// baselineRetries is the baseline's number of retries.
	baselineRetries = 3
	// serverSlots is the number of requests that a backend server runs at once.
	serverSlots = 8
	// restartTime is the time until a crashed backend server serves again.
	restartTime = 5 * time.Second
	// simulatedTime is the simulated time of one run.
	simulatedTime = 40 * time.Second
	// innocentInterval is the time between two innocent requests.
	innocentInterval = 10 * time.Millisecond
	// maxInnocentRunTime bounds the run time of an innocent request.
	maxInnocentRunTime = 1500 * time.Millisecond
	// maxCrashDelay bounds the time from a poison dispatch to the crash.
	maxCrashDelay = 400 * time.Millisecond
	// maxLatency bounds the one-way latency of a message.
	maxLatency = 5 * time.Millisecond
	// requestTimeout is the deadline of every request.
	requestTimeout = 8 * time.Second
	// innocentContents is the number of different innocent requests: some are sent again
	// and again, and are in flight in several places.
	innocentContents = 400
)

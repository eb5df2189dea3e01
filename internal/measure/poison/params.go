package poison

import "time"

// Params describes one run. An innocent request is one that crashes nothing; the
// poison request crashes the backend server that runs it.
type Params struct {
	Entries int
	Agents  int
	// Callers is the number of callers that send the poison request at the same
	// time. Each sends it SendsPerCaller times in sequence, each time under a new
	// request ID to a random entry.
	Callers        int
	SendsPerCaller int
	// Settle is poison.Config.Settle of the entries' monitors.
	Settle time.Duration
	// StartDelay is the simulated time at which the callers start. The later they
	// start, the more contents of requests that do not crash servers have completed
	// before.
	StartDelay time.Duration
	Seed       uint64
	// Baseline replaces the monitors by up to baselineRetries retries of each
	// request.
	Baseline bool
	// SlowUpdates delays the updates between entries by up to half of Settle, the
	// longest delay for which the guarantee holds.
	SlowUpdates bool
}

const (
	// baselineRetries is the number of retries of a request in the baseline.
	baselineRetries = 3
	// serverSlots is the number of requests that a backend server runs at once.
	serverSlots = 8
	// restartTime is the time that a crashed backend server is down.
	restartTime = 5 * time.Second
	// simulatedTime is the length of one run.
	simulatedTime = 40 * time.Second
	// innocentInterval is the mean time between two innocent requests.
	innocentInterval = 10 * time.Millisecond
	// maxInnocentRunTime is the maximum run time of an innocent request.
	maxInnocentRunTime = 1500 * time.Millisecond
	// maxCrashDelay is the maximum time from the dispatch of a poison request to
	// the crash.
	maxCrashDelay = 400 * time.Millisecond
	// maxLatency is the maximum one-way latency of a message.
	maxLatency = 5 * time.Millisecond
	// requestTimeout is the time from the arrival of a request to its deadline.
	requestTimeout = 8 * time.Second
	// innocentContents is the number of different innocent request bodies. It is
	// small enough that bodies are sent repeatedly and are in flight on several
	// backend servers.
	innocentContents = 400
)

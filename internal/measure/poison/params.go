package poison

import "time"

// Params describes one run.
type Params struct {
	Entries int
	Agents  int
	// Callers send the poison request at the same time, each Sends times in
	// sequence, under new ids and to random entries.
	Callers int
	Sends   int
	Settle  time.Duration
	// Start is when the callers begin. The later, the more of the innocent
	// contents were answered before.
	Start time.Duration
	Seed  uint64
	// Plain replaces the monitors by three plain retries per sending.
	Plain bool
	// SlowUpdates delays the updates between entries by up to half of Settle,
	// which is the limit of the stated guarantee.
	SlowUpdates bool
}

const (
	// plainRetries is the baseline's number of retries.
	plainRetries = 3
	// slots is the number of requests that a backend server runs at once.
	slots = 8
	// restartTime is the time until a crashed backend server serves again.
	restartTime = 5 * time.Second
	// duration is the simulated time of one run.
	duration = 40 * time.Second
	// innocentEvery is the time between two innocent requests.
	innocentEvery = 10 * time.Millisecond
	// innocentRun bounds the run time of an innocent request.
	innocentRun = 1500 * time.Millisecond
	// crashAfter bounds the time from a poison dispatch to the crash.
	crashAfter = 400 * time.Millisecond
	// latency bounds the one-way latency of a message.
	latency = 5 * time.Millisecond
	// giveUpAfter is the deadline of every request.
	giveUpAfter = 8 * time.Second
	// contents is the number of different innocent requests: some are sent again
	// and again, and are in flight in several places.
	contents = 400
)

package demo

import "time"

// Options holds the flags of the demo.
type Options struct {
	// Agents and Entries are the numbers of agents of model engines and of entries
	// in each failure domain.
	Agents  int
	Entries int
	// ModelMiB and ChunkKiB are the sizes of a version and of its chunks.
	ModelMiB int
	ChunkKiB int
	// Callers is the number of concurrent callers.
	Callers int
	// KillShare is the share of the agents of model engines to kill.
	KillShare float64
	Seed      int64
	// Window sets the link rates; see deployment.Options.
	Window time.Duration
	// MaxTime is the time after which the demo is abandoned.
	MaxTime time.Duration
	// ShowEvents writes the log events to the output.
	ShowEvents bool
}

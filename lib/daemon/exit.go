package daemon

// Exit codes of a daemon. Service managers tell a fault that a restart may
// cure (1) from one that it does not (2).
const (
	// ExitOK means that the process ended as asked, with no work left.
	ExitOK = 0
	// ExitFailed means that the process could not start or go on.
	ExitFailed = 1
	// ExitUsage means that the command line or the settings are invalid.
	ExitUsage = 2
	// ExitDrainIncomplete means that work was cut off by the drain timeout or by a
	// second signal.
	ExitDrainIncomplete = 3
)

package daemon

// Exit codes of a daemon. They let a service manager distinguish failures that a
// restart may fix (1) from those that it cannot fix (2).
const (
	// ExitOK means that the process stopped as requested, with no work left.
	ExitOK = 0
	// ExitFailed means that the process could not start or continue.
	ExitFailed = 1
	// ExitUsage means that the command line or the settings are invalid.
	ExitUsage = 2
	// ExitDrainIncomplete means that the drain failed, or that the drain timeout or a
	// second signal aborted it.
	ExitDrainIncomplete = 3
)

package backend

// trigger is an event of the state machine of phases.
type trigger string

const (
	// triggerWant means that another version is wanted, or none.
	triggerWant trigger = "want"
	// triggerFetched means that the wanted version is complete and verified.
	triggerFetched trigger = "fetched"
	// triggerPermitted means that the instance may leave what it serves.
	triggerPermitted trigger = "permitted"
	// triggerQuiesced means that no request runs.
	triggerQuiesced trigger = "quiesced"
	// triggerConfirmed means that the engine reports the wanted version.
	triggerConfirmed trigger = "confirmed"
	// triggerLost means that what was live no longer is.
	triggerLost trigger = "lost"
	// triggerFailed means that a fetch or a load failed.
	triggerFailed trigger = "failed"
	// triggerRetry means that the wait after a failure is over.
	triggerRetry trigger = "retry"
	// triggerEnded means that a load ended and another version is wanted now.
	triggerEnded trigger = "ended"
)

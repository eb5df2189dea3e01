package backend

// trigger causes a transition between phases.
type trigger string

const (
	// triggerWantedChanged means that another version is wanted, or none.
	triggerWantedChanged trigger = "want"
	// triggerFetched means that the wanted version is complete and verified.
	triggerFetched trigger = "fetched"
	// triggerPermitted means that the live weights may be replaced.
	triggerPermitted trigger = "permitted"
	// triggerQuiesced means that no request is running.
	triggerQuiesced trigger = "quiesced"
	// triggerConfirmed means that the engine reports the wanted version.
	triggerConfirmed trigger = "confirmed"
	// triggerLiveLost means that the live weights are no longer live.
	triggerLiveLost trigger = "lost"
	// triggerFailed means that a fetch or a load failed.
	triggerFailed trigger = "failed"
	// triggerRetry means that the backoff after a failure has elapsed.
	triggerRetry trigger = "retry"
	// triggerLoadSuperseded means that a load ended after another version, or none,
	// became wanted.
	triggerLoadSuperseded trigger = "ended"
)

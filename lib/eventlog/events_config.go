package eventlog

// Events 2000 to 2999: configuration.
var (
	ConfigApplied  = Event{2001, Info, "configuration revision in force", "Nothing."}
	ConfigRejected = Event{2002, Warn, "configuration revision rejected: its digest does not continue the chain", "Check the process that sent the revision; its copy is corrupt."}
	ConfigStale    = Event{2003, Warn, "configuration not confirmed by the store or a peer", "Check the network between the failure domain and the store; requests are still served."}
	ConfigAccepted = Event{2004, Info, "configuration change accepted", "Nothing."}
	ConfigConflict = Event{2005, Info, "configuration change conflicts with a concurrent one", "The operator reads the current revision and applies the change again."}
)

var configEvents = []Event{
	ConfigApplied,
	ConfigRejected,
	ConfigStale,
	ConfigAccepted,
	ConfigConflict,
}

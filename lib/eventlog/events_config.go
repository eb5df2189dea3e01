package eventlog

// Events 2000 to 2999: configuration.
var (
	ConfigApplied  = Event{2001, Info, "configuration revision in force", "Nothing."}
	ConfigRejected = Event{2002, Warn, "configuration revision refused: its digest does not continue the chain", "Check which process serves the revision; it holds a damaged copy."}
	ConfigStale    = Event{2003, Warn, "configuration has not been confirmed by the store or a peer", "Check the network between the failure domain and the store; serving continues."}
	ConfigAccepted = Event{2004, Info, "configuration change accepted", "Nothing."}
	ConfigConflict = Event{2005, Info, "configuration change lost a race with another operator", "The operator reads the current revision and applies again."}
)

var configEvents = []Event{
	ConfigApplied,
	ConfigRejected,
	ConfigStale,
	ConfigAccepted,
	ConfigConflict,
}

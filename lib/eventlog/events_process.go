package eventlog

// Events 1000 to 1999: processes and settings.
var (
	ProcessStarted   = Event{1001, Info, "process started", "Nothing."}
	ProcessStopping  = Event{1002, Info, "process received a stop signal and drains", "Nothing."}
	ProcessStopped   = Event{1003, Info, "process stopped", "Nothing."}
	SettingsRead     = Event{1004, Info, "settings file was read again", "Nothing; addresses take effect at the next start only."}
	SettingsRejected = Event{1005, Error, "changed settings file cannot be used", "Correct the named field; the settings before stay in force."}
	ProcessFailed    = Event{1006, Error, "process cannot go on", "Read the error; the platform starts the process again."}
	DrainUnfinished  = Event{1007, Warn, "process ends with work unfinished", "Raise the drain timeout if answers take longer than it."}
	StartFailed      = Event{1008, Error, "process cannot start", "Read the error, correct it and start again."}
)

var processEvents = []Event{
	ProcessStarted,
	ProcessStopping,
	ProcessStopped,
	SettingsRead,
	SettingsRejected,
	ProcessFailed,
	DrainUnfinished,
	StartFailed,
}

package eventlog

// Events 1000 to 1999: processes and settings.
var (
	ProcessStarted   = Event{1001, Info, "process started", "Nothing."}
	ProcessStopping  = Event{1002, Info, "process received a stop signal and is draining", "Nothing."}
	ProcessStopped   = Event{1003, Info, "process stopped", "Nothing."}
	SettingsRead     = Event{1004, Info, "settings file reloaded", "Nothing; new addresses take effect only after a restart."}
	SettingsRejected = Event{1005, Error, "changed settings file rejected", "Correct the named field; the previous settings stay in force."}
	ProcessFailed    = Event{1006, Error, "process failed and is exiting", "Read the error; the platform restarts the process."}
	DrainUnfinished  = Event{1007, Warn, "process stopped with unfinished work", "Raise the drain timeout if responses take longer than it."}
	StartFailed      = Event{1008, Error, "process failed to start", "Read the error, correct its cause and start the process again."}
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

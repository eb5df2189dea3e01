package eventlog

// Events 1000 to 1999: processes and settings.
var (
	ProcessStarted  = Event{1001, Info, "process started", "Nothing."}
	ProcessStopping = Event{1002, Info, "process received a stop signal and drains", "Nothing."}
	ProcessStopped  = Event{1003, Info, "process stopped", "Nothing."}
	SettingsInvalid = Event{1004, Error, "settings are invalid", "Correct the named key and start again."}
	ListenFailed    = Event{1005, Error, "cannot listen on the configured address", "Free the address or change the setting."}
)

var processEvents = []Event{
	ProcessStarted,
	ProcessStopping,
	ProcessStopped,
	SettingsInvalid,
	ListenFailed,
}

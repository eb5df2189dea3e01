package eventlog

// Events 6000 to 6999: platform.
var (
	StoreUnavailable        = Event{6001, Warn, "table service does not answer", "Check the platform; non-repeatable requests with a key are not run until it is back."}
	StoreReplyLost          = Event{6002, Info, "reply of a write was lost; it is resolved by reading back", "Nothing."}
	StoreRecovered          = Event{6003, Info, "table service answers again", "Nothing."}
	InstanceListUnavailable = Event{6004, Info, "instance list does not answer; known instances stay in use", "Check the platform if it lasts."}
)

var platformEvents = []Event{
	StoreUnavailable,
	StoreReplyLost,
	StoreRecovered,
	InstanceListUnavailable,
}

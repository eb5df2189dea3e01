package eventlog

// Events 6000 to 6999: platform.
var (
	StoreUnavailable        = Event{6001, Warn, "table service unavailable", "Check the platform; non-repeatable requests with a key are not run until it is back."}
	StoreReplyLost          = Event{6002, Info, "reply to a write was lost; resolving it by reading back", "Nothing."}
	StoreRecovered          = Event{6003, Info, "table service available again", "Nothing."}
	InstanceListUnavailable = Event{6004, Info, "instance list unavailable; known instances stay in use", "Check the platform if it lasts."}
	InstanceInvalid         = Event{6005, Warn, "item of the instance list is invalid and was ignored", "Find out who wrote it; the other items are used."}
)

var platformEvents = []Event{
	StoreUnavailable,
	StoreReplyLost,
	StoreRecovered,
	InstanceListUnavailable,
	InstanceInvalid,
}

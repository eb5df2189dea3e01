package eventlog

// Events 5000 to 5999: membership.
var (
	EntryLost            = Event{5001, Info, "entry left or was lost", "Nothing; other entries take over as trackers."}
	AgentLost            = Event{5002, Info, "agent left or was lost", "Nothing; the platform replaces it."}
	ConnectionSilent     = Event{5003, Warn, "connection timed out without data", "Nothing unless frequent; then check the network path."}
	PathFault            = Event{5004, Warn, "many connections timed out at once while new ones work", "Check the network path; no backend server is ejected because of it."}
	AgentDraining        = Event{5005, Info, "agent is draining and gets no new work", "Nothing."}
	AgentJoined          = Event{5006, Info, "agent connected", "Nothing."}
	PeerRefused          = Event{5007, Warn, "connection rejected: unknown version or unauthorized name", "Check the certificates and the versions of both ends."}
	FrameInvalid         = Event{5008, Warn, "connection closed after an invalid frame", "If it repeats, check the version of the peer."}
	BackendServerEjected = Event{5009, Warn, "backend server ejected as an outlier", "Check the backend server."}
	BackendServerPaced   = Event{5010, Info, "concurrency of a backend server that has just started or was ejected is limited", "Nothing."}
	BackendServerUnpaced = Event{5011, Info, "concurrency of a backend server is no longer limited", "Nothing unless after_ms is often near 20000; then check why new servers respond late."}
)

var memberEvents = []Event{
	EntryLost,
	AgentLost,
	ConnectionSilent,
	PathFault,
	AgentDraining,
	AgentJoined,
	PeerRefused,
	FrameInvalid,
	BackendServerEjected,
	BackendServerPaced,
	BackendServerUnpaced,
}

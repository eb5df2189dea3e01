package eventlog

// Events 5000 to 5999: membership.
var (
	EntryLost            = Event{5001, Info, "entry is gone", "Nothing; its peers take over its trackers."}
	AgentLost            = Event{5002, Info, "agent is gone", "Nothing; the platform replaces it."}
	ConnectionSilent     = Event{5003, Warn, "connection went silent", "Nothing unless frequent; then check the network path."}
	PathFault            = Event{5004, Warn, "many connections went silent at once while new ones work", "Check the network path; no backend server is ejected for it."}
	AgentDraining        = Event{5005, Info, "agent is leaving and gets no new work", "Nothing."}
	AgentJoined          = Event{5006, Info, "agent connected", "Nothing."}
	PeerRefused          = Event{5007, Warn, "connection refused: unknown version or unauthorised name", "Check the certificates and the versions of both ends."}
	FrameInvalid         = Event{5008, Warn, "connection closed: invalid frame", "Check the version of the peer if it repeats."}
	BackendServerEjected = Event{5009, Warn, "backend server ejected as an outlier", "Check the backend server."}
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
}

package eventlog

// Events 3000 to 3999: weights.
var (
	VersionFetchStarted = Event{3001, Info, "instance starts to fetch a version", "Nothing."}
	VersionVerified     = Event{3002, Info, "all chunks of a version verified", "Nothing."}
	VersionLive         = Event{3003, Info, "instance serves a version", "Nothing."}
	TransferPeerLost    = Event{3101, Info, "agent lost during a transfer", "Nothing; its grants expire."}
	LoadFailed          = Event{3102, Warn, "backend server did not load a version", "Check the backend server; the agent repeats the order."}
	TransferStalled     = Event{3103, Info, "chunk transfer made no progress before its deadline", "Nothing unless frequent; then check the link of the source."}
	ChunkCorrupt        = Event{3104, Warn, "chunk does not match its digest", "Check the named source if it repeats."}
	ManifestCorrupt     = Event{3105, Warn, "manifest does not match its digest", "Check the manifest object at the origin."}
	VersionReplaced     = Event{3106, Info, "wanted version changed during transfers", "Nothing."}
	GrantExpired        = Event{3107, Info, "result of a transfer arrived after its grant expired", "Nothing."}
	FencingIgnored      = Event{3108, Info, "backend server does not check fencing numbers", "Nothing; the agent reads its state before and after each order."}
	SourceThrottled     = Event{3109, Info, "source of weights asked to retry later", "Nothing; if a rollout is late, check the limits of the source."}
	RoleNotSet          = Event{3111, Warn, "backend server did not switch to its declared role", "Check the backend server; the agent repeats the order."}
	LoadNotRecorded     = Event{3112, Warn, "agent could not record which weights its backend server has loaded", "Check the staging directory; after a restart of the agent, the backend server loads its weights again."}
	LoadUnverified      = Event{3113, Warn, "staged files changed before or while the backend server loaded them; the instance serves nothing until it has loaded intact ones", "Check what writes to the staging directory, and the memory of the instance if it repeats."}
	WeightsChanged      = Event{3114, Warn, "backend server accepted an order that its agent did not send; running requests were ended", "Check whether two agents run for the instance; the agent makes the backend server load its weights again."}
	TrackerUnreachable  = Event{3110, Warn, "no tracker reachable; agents exchange chunks directly", "Check the entry instances of the failure domain."}
)

var weightEvents = []Event{
	VersionFetchStarted,
	VersionVerified,
	VersionLive,
	TransferPeerLost,
	LoadFailed,
	TransferStalled,
	ChunkCorrupt,
	ManifestCorrupt,
	VersionReplaced,
	GrantExpired,
	FencingIgnored,
	SourceThrottled,
	TrackerUnreachable,
	RoleNotSet,
	LoadNotRecorded,
	LoadUnverified,
	WeightsChanged,
}

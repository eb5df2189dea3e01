package eventlog

// Events 7000 to 7999: gateway and replica on the users' platform.
var (
	LiveConfigApplied   = Event{7001, Info, "live configuration in force", "Nothing."}
	VersionDeclared     = Event{7002, Info, "operator declared a version of a model's weights", "Nothing."}
	RowInvalid          = Event{7003, Warn, "row of the store is invalid and was ignored", "Find out who wrote it; the other rows are used."}
	StoreLost           = Event{7004, Warn, "store does not answer this instance", "Check the platform; the last known state stays in use."}
	StoreRegained       = Event{7005, Info, "store answers again", "Nothing."}
	StoreRestored       = Event{7006, Warn, "store was restored from an earlier state; its table was read in full", "Check that what the operator wrote lately is in force; see OPERATIONS.md."}
	StoreBehind         = Event{7007, Warn, "store answers with an older state than before; the answers are ignored until it has caught up", "Nothing unless it lasts; then check the store and what it is reached through."}
	ServerListRead      = Event{7101, Info, "list of backend servers read in full", "Nothing."}
	ServerRegistered    = Event{7102, Info, "backend server registered or changed", "Nothing."}
	ServerRemoved       = Event{7103, Info, "row of a backend server was removed", "Nothing unless many are removed at the same time."}
	ServerEjected       = Event{7104, Warn, "backend server ejected temporarily", "Check the server if it repeats."}
	PlacerChanged       = Event{7105, Info, "another entry now places the requests of the region", "Nothing."}
	PlacerLost          = Event{7106, Warn, "entry that places requests does not answer this entry", "Nothing unless it lasts; then check the named entry and the link to it."}
	StorePathChanged    = Event{7107, Info, "store table is now read through another entry, or directly", "Nothing unless it changes often; then check the named entry."}
	RequestEnded        = Event{7201, Info, "request ended", "Nothing; outcome and reason give the details."}
	RequestRetried      = Event{7202, Info, "request retried on another backend server", "Nothing unless frequent; then check the named server."}
	LogLinesDropped     = Event{7203, Warn, "log lines dropped to limit the log volume", "Nothing; the metrics still count all requests."}
	AttemptAborted      = Event{7204, Info, "connection to a backend server closed before the response was complete", "Nothing unless the same content affects several servers; then find its caller."}
	ServerCrashed       = Event{7205, Warn, "backend server crashed while running requests", "Nothing unless it repeats; then look for event 7206."}
	ContentQuarantined  = Event{7206, Warn, "content quarantined: backend servers crashed while running it", "Find its caller by the content in event 7201 and inform it."}
	ServerAlive         = Event{7207, Info, "backend server presumed crashed is alive", "Nothing; its requests do not count against their content."}
	ServerDraining      = Event{7208, Info, "backend server is draining and gets no new requests", "Nothing."}
	ServerPaused        = Event{7209, Info, "backend server asked this entry to pause sending requests", "Nothing unless it repeats; then add servers of the service."}
	ServerRateLimited   = Event{7210, Info, "backend server stated or lifted a limit of its request rate", "Nothing unless it repeats; then add servers of the service."}
	DomainEvacuated     = Event{7211, Info, "operator evacuates a failure domain: its backend servers get no more requests", "Nothing; take the domain back by removing the row."}
	DomainRestored      = Event{7212, Info, "evacuated failure domain was taken back: its backend servers get requests again, gradually", "Nothing."}
	PartQuarantined     = Event{7213, Warn, "part of prompts quarantined: backend servers crashed while running requests with it", "Find the callers that send it by the parts in event 7204 and inform them."}
	RequestPanicked     = Event{7214, Error, "request ended by a fault of this program", "Report the stack to the developers."}
	RequestBeyondMemory = Event{7215, Warn, "request refused because the memory for bodies is used up", "Nothing unless it lasts; then add entries, or find the team that sends long bodies."}
	ServerPaceLimited   = Event{7216, Info, "concurrency of a backend server that has just started or recovered is limited", "Nothing."}
	ServerPaceLifted    = Event{7217, Info, "concurrency of a backend server is no longer limited", "Nothing unless after_ms is often near 20000; then check why new servers respond late."}
	OverloadBegan       = Event{7218, Warn, "service is overloaded: requests are admitted by rank and team", "Nothing unless it lasts; then add servers of the service, or look for the teams that send most of the requests."}
	OverloadEnded       = Event{7219, Info, "service is no longer overloaded", "Nothing."}
	RequestNotTaken     = Event{7220, Info, "backend server has answered a request and did not take the rest of it", "Nothing unless it repeats; then check why the named server ends connections or does not read."}
	QuarantineTrial     = Event{7221, Info, "request tries whether what is quarantined still crashes backend servers", "Nothing; events 7205 and 7206 tell if it does."}
	ReplicaPhase        = Event{7301, Info, "phase of the replica changed", "Nothing."}
	LoadOrdered         = Event{7302, Info, "engine ordered to load a version", "Nothing; err is set if the order failed."}
	ReplicaFetched      = Event{7306, Info, "all pieces of a version fetched", "Nothing."}
	FetchFailed         = Event{7307, Warn, "fetch of a version failed", "Nothing unless it repeats; then check the origin and the peers."}
	OriginLost          = Event{7308, Warn, "origin of weights does not answer this instance", "Check the origin; instances still fetch pieces from one another."}
	OriginRegained      = Event{7309, Info, "origin of weights answers again", "Nothing."}
	WeightsVerified     = Event{7310, Info, "engine holds all layers of a version intact", "Nothing."}
	WeightsCorrupt      = Event{7311, Warn, "engine took layers that are not known to be intact; it gets no requests and takes them again", "Check the storage of the instance if it repeats."}
	WeightsUnverified   = Event{7315, Warn, "weights that an earlier agent process had loaded are not verified yet; the engine gets no requests", "Check the origin: the agent needs the manifest of the version, from it or a peer."}
	WeightsConfirmed    = Event{7316, Info, "an entry confirmed that an earlier agent process verified the weights that the engine holds", "Nothing."}
	LoadDelayed         = Event{7317, Info, "load of a version waited until no entry used the engine by an earlier report", "Nothing unless delays of seconds repeat; then check the network between the entries and the instance."}
	WeightsUnrepairable = Event{7313, Warn, "engine can't take its only layer again, which is not known to be intact; it gets no requests until it restarts or a newer version is declared", "Restart the engine or declare a newer version; check that the configuration names the number of layers."}
	EnginePaused        = Event{7314, Info, "engine asked its agent to pause calls: no status checks, orders and pieces meanwhile", "Nothing unless it repeats; then check the engine."}
	PieceCorrupt        = Event{7303, Warn, "piece of weights does not match the manifest", "Check the named source if it repeats."}
	PeerListUnavailable = Event{7304, Warn, "list of peers unavailable", "Check the platform; the origin is used instead."}
	EngineCallFailed    = Event{7305, Warn, "call to the engine on this instance failed", "Check the engine if it lasts."}
)

var servingEvents = []Event{
	LiveConfigApplied, VersionDeclared, RowInvalid, StoreLost, StoreRegained, StoreRestored, StoreBehind,
	ServerListRead, ServerRegistered, ServerRemoved, ServerEjected, PlacerChanged, PlacerLost, StorePathChanged,
	RequestEnded, RequestRetried, LogLinesDropped, AttemptAborted, ServerCrashed, ContentQuarantined, ServerAlive, ServerDraining, ServerPaused, ServerRateLimited, DomainEvacuated, DomainRestored, PartQuarantined, RequestPanicked, RequestBeyondMemory, ServerPaceLimited, ServerPaceLifted, OverloadBegan, OverloadEnded, RequestNotTaken, QuarantineTrial,
	ReplicaPhase, LoadOrdered, ReplicaFetched, FetchFailed, OriginLost, OriginRegained, WeightsVerified, WeightsCorrupt, WeightsUnverified, WeightsConfirmed, LoadDelayed, WeightsUnrepairable, EnginePaused, PieceCorrupt, PeerListUnavailable, EngineCallFailed,
}

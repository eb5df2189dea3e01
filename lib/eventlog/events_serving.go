package eventlog

// Events 7000 to 7999: daemons on the users' platform.
var (
	LiveConfigApplied   = Event{7001, Info, "live configuration is in force", "Nothing."}
	VersionDeclared     = Event{7002, Info, "operator declared a version of a model's weights", "Nothing."}
	RowInvalid          = Event{7003, Warn, "row of the store cannot be used", "Find out who wrote it; the others are used."}
	StoreLost           = Event{7004, Warn, "store does not answer this instance", "Check the platform; the last known state stays in use."}
	StoreRegained       = Event{7005, Info, "store answers again", "Nothing."}
	ServerListRead      = Event{7101, Info, "list of backend servers was read in full", "Nothing."}
	ServerRegistered    = Event{7102, Info, "backend server registered or changed", "Nothing."}
	ServerRemoved       = Event{7103, Info, "row of a backend server is gone", "Nothing unless many go at the same time."}
	ServerEjected       = Event{7104, Warn, "backend server gets no requests for a while", "Check the server if it repeats."}
	PlacerChanged       = Event{7105, Info, "another entry places the requests of the region", "Nothing."}
	PlacerLost          = Event{7106, Warn, "entry that places requests does not answer this one", "Nothing unless it lasts; then check the named entry and the link to it."}
	StorePathChanged    = Event{7107, Info, "table of the store is read through another entry, or directly", "Nothing unless it changes often; then check the named entry."}
	RequestEnded        = Event{7201, Info, "request ended", "Nothing; outcome and reason tell how."}
	RequestRetried      = Event{7202, Info, "request goes to another backend server", "Nothing unless frequent; then check the named server."}
	LogLinesDropped     = Event{7203, Warn, "log lines were dropped to keep their volume bounded", "Nothing; the metrics count all requests."}
	AttemptAborted      = Event{7204, Info, "connection to a backend server ended before its answer did", "Nothing unless the same content meets several servers; then find its caller."}
	ServerCrashed       = Event{7205, Warn, "backend server ended while it ran requests", "Nothing unless it repeats; then look for 7206."}
	ContentQuarantined  = Event{7206, Warn, "content is quarantined: backend servers ended while they ran it", "Find its caller by the content in 7201 and tell it."}
	ServerAlive         = Event{7207, Info, "backend server that seemed to have ended is alive", "Nothing; what it ran is not held against any content."}
	ServerDraining      = Event{7208, Info, "backend server leaves and gets no further requests", "Nothing."}
	ServerPaused        = Event{7209, Info, "backend server wants nothing from this entry for a while", "Nothing unless it repeats; then add servers of the service."}
	ReplicaPhase        = Event{7301, Info, "instance takes a step towards the declared version", "Nothing."}
	LoadOrdered         = Event{7302, Info, "engine was ordered to load a version", "Nothing; err tells whether it refused."}
	ReplicaFetched      = Event{7306, Info, "all pieces of a version are here", "Nothing."}
	FetchFailed         = Event{7307, Warn, "version could not be fetched", "Nothing unless it repeats; then check the origin and the peers."}
	OriginLost          = Event{7308, Warn, "origin of weights does not answer this instance", "Check the origin; pieces that any instance has still spread."}
	OriginRegained      = Event{7309, Info, "origin of weights answers again", "Nothing."}
	PieceCorrupt        = Event{7303, Warn, "piece of weights does not match the manifest", "Check the named source if it repeats."}
	PeerListUnavailable = Event{7304, Warn, "list of peers cannot be read", "Check the platform; the origin serves instead."}
	EngineCallFailed    = Event{7305, Warn, "call of the engine on this instance failed", "Check the engine if it lasts."}
)

var servingEvents = []Event{
	LiveConfigApplied, VersionDeclared, RowInvalid, StoreLost, StoreRegained,
	ServerListRead, ServerRegistered, ServerRemoved, ServerEjected, PlacerChanged, PlacerLost, StorePathChanged,
	RequestEnded, RequestRetried, LogLinesDropped, AttemptAborted, ServerCrashed, ContentQuarantined, ServerAlive, ServerDraining, ServerPaused,
	ReplicaPhase, LoadOrdered, ReplicaFetched, FetchFailed, OriginLost, OriginRegained, PieceCorrupt, PeerListUnavailable, EngineCallFailed,
}

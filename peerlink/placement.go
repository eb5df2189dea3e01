package peerlink

// PlacementRequest asks another entry of the region to place a request on an
// engine.
type PlacementRequest struct {
	// Entry is the requesting instance, Incarnation a number that differs between
	// its process starts, and Lease the number of the lease.
	Entry       string `msgpack:"e"`
	Incarnation uint64 `msgpack:"k"`
	Lease       uint64 `msgpack:"l"`
	// Domain is the failure domain of the entry.
	Domain  string `msgpack:"d"`
	Service string `msgpack:"s"`
	Model   string `msgpack:"m"`
	// Version is the only version that may run the request, or zero for any that
	// isn't older than MinVersion. NextVersion is the value that MinVersion will
	// have after NextMillis milliseconds, or zero if no change is due. LaterVersions
	// are the changes after that; receivers of earlier releases ignore them.
	Version       int               `msgpack:"v,omitempty"`
	MinVersion    int               `msgpack:"n,omitempty"`
	NextVersion   int               `msgpack:"x,omitempty"`
	NextMillis    int64             `msgpack:"y,omitempty"`
	LaterVersions []VersionDeadline `msgpack:"z,omitempty"`
	// PromptTokens and OutputTokens are the expected work.
	PromptTokens int `msgpack:"p"`
	OutputTokens int `msgpack:"a"`
	// LatencyTargetMillis is the time within which the first token is due.
	// RemainingMillis is the time until the caller stops waiting. Zero means no
	// limit.
	LatencyTargetMillis int64 `msgpack:"t,omitempty"`
	RemainingMillis     int64 `msgpack:"i,omitempty"`
	// MayHaveRun means that the request has already started elsewhere.
	MayHaveRun bool `msgpack:"c,omitempty"`
	// Exclude lists servers that must not run the request.
	Exclude []ServerKey `msgpack:"g,omitempty"`
	// Homes are the only regions whose servers may run the request if HomesOnly is set.
	Homes     []string `msgpack:"h,omitempty"`
	HomesOnly bool     `msgpack:"j,omitempty"`
	// Evacuated lists failure domains whose servers must not run the request, as far as the
	// entry knows.
	Evacuated []string `msgpack:"q,omitempty"`
	// Limits are the rate limits of the service's servers that the entry knows.
	Limits []RateLimit `msgpack:"u,omitempty"`
	// OpenLeases are the numbers of the leases that the entry holds from the
	// receiver. They are valid if OpenLeasesKnown is set.
	OpenLeases      []uint64 `msgpack:"o,omitempty"`
	OpenLeasesKnown bool     `msgpack:"w,omitempty"`
	// Rank is the urgency of the request, 0 is the highest, and Team its team. Entries of
	// earlier releases send neither.
	Rank int    `msgpack:"r,omitempty"`
	Team string `msgpack:"b,omitempty"`
	// WaitedMillis is the time for which the request has waited for a placement, and
	// MaxWaitMillis the time for which it may still wait.
	WaitedMillis  int64 `msgpack:"f,omitempty"`
	MaxWaitMillis int64 `msgpack:"M,omitempty"`
}

// VersionDeadline holds a version and the milliseconds after which older weights must no
// longer serve. It is an array because that takes less of a datagram than a map.
type VersionDeadline [2]int64

// ServerKey identifies one start of a backend server.
type ServerKey struct {
	ID             string `msgpack:"i"`
	StartUnixMilli int64  `msgpack:"b"`
}

// PlacementResponse answers a PlacementRequest.
type PlacementResponse struct {
	Incarnation uint64 `msgpack:"k"`
	Lease       uint64 `msgpack:"l"`
	// Declined means that the receiver doesn't place requests for others.
	Declined bool `msgpack:"d,omitempty"`
	// Server is the chosen server and Version the version that it serves. Server is
	// nil if the request is refused for Reason.
	Server  *ServerKey `msgpack:"s,omitempty"`
	Version int        `msgpack:"v,omitempty"`
	// LimitChecked means that the choice respects the newest rate limit of the server
	// that the receiver and the entry know.
	LimitChecked bool `msgpack:"c,omitempty"`
	// PredictedMicros is the expected time to the first token, Occupancy the number
	// of requests already on the server, and LoadAgeMicros the age of the load
	// report used, or negative if there is none.
	PredictedMicros int64 `msgpack:"p,omitempty"`
	Occupancy       int   `msgpack:"o,omitempty"`
	LoadAgeMicros   int64 `msgpack:"a,omitempty"`
	// Reason is why the request is refused, and RetryAfterMillis the time until
	// capacity is expected.
	Reason           string `msgpack:"r,omitempty"`
	RetryAfterMillis int64  `msgpack:"f,omitempty"`
	// MayWait means that the request may wait and be asked for again.
	MayWait bool `msgpack:"m,omitempty"`
	// FirstEventWanted means that the entry must send a notice of the first event.
	FirstEventWanted bool `msgpack:"e,omitempty"`
}

// PlacementNotice informs the entry that placed a request of its progress.
type PlacementNotice struct {
	Entry       string `msgpack:"e"`
	Incarnation uint64 `msgpack:"k"`
	Lease       uint64 `msgpack:"l"`
	// Ended means that the lease has ended with Result. FirstEvent means that the first
	// event of the response has arrived. Otherwise its head has.
	Ended  bool  `msgpack:"d,omitempty"`
	Result uint8 `msgpack:"r,omitempty"`

	FirstEvent bool `msgpack:"f,omitempty"`
}

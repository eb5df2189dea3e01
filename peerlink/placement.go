package peerlink

// PlacementRequest asks another entry of the region to place a request on an engine.
type PlacementRequest struct {
	// Entry is the instance that asks, Start a number that differs between its
	// starts, and Lease the number of the lease.
	Entry       string `msgpack:"e"`
	Incarnation uint64 `msgpack:"k"`
	Lease       uint64 `msgpack:"l"`
	// Domain is the failure domain of the entry.
	Domain  string `msgpack:"d"`
	Service string `msgpack:"s"`
	Model   string `msgpack:"m"`
	// Version is the only version that may run the request, zero for any that is
	// not older than MinVersion. NextVersion is the oldest one that may begin it
	// NextMillis from now; zero if none is due.
	Version     int   `msgpack:"v,omitempty"`
	MinVersion  int   `msgpack:"n,omitempty"`
	NextVersion int   `msgpack:"x,omitempty"`
	NextMillis  int64 `msgpack:"y,omitempty"`
	// PromptTokens and AnswerTokens are the expected work.
	PromptTokens int `msgpack:"p"`
	OutputTokens int `msgpack:"a"`
	// LatencyTargetMillis is the time in which the first answer is due, LimitMillis the
	// time until nobody waits any more; zero sets none.
	LatencyTargetMillis int64 `msgpack:"t,omitempty"`
	RemainingMillis     int64 `msgpack:"i,omitempty"`
	// MayHaveRun tells that the request has begun elsewhere.
	MayHaveRun bool `msgpack:"c,omitempty"`
	// Exclude are servers that must not get it.
	Exclude []ServerKey `msgpack:"g,omitempty"`
	// OpenLeases are the numbers of the leases that the entry has from the receiver, if
	// OpenKnown.
	OpenLeases      []uint64 `msgpack:"o,omitempty"`
	OpenLeasesKnown bool     `msgpack:"w,omitempty"`
}

// ServerKey names one start of a backend server.
type ServerKey struct {
	ID             string `msgpack:"i"`
	StartUnixMilli int64  `msgpack:"b"`
}

// PlacementResponse answers a PlaceQuery.
type PlacementResponse struct {
	Incarnation uint64 `msgpack:"k"`
	Lease       uint64 `msgpack:"l"`
	// Declined tells that the receiver places no requests for others.
	Declined bool `msgpack:"d,omitempty"`
	// Server is the chosen server and Version what it serves; nil if the request is
	// refused for Reason.
	Server  *ServerKey `msgpack:"s,omitempty"`
	Version int        `msgpack:"v,omitempty"`
	// PredictedMicros is the expected time to the first answer, Occupancy the
	// requests there before this one, and LoadAgeMicros the age of the report that it
	// rests on; negative if there is none.
	PredictedMicros int64 `msgpack:"p,omitempty"`
	Occupancy       int   `msgpack:"o,omitempty"`
	LoadAgeMicros   int64 `msgpack:"a,omitempty"`
	// Reason tells why the request is refused, AfterMillis when a place is expected.
	Reason           string `msgpack:"r,omitempty"`
	RetryAfterMillis int64  `msgpack:"f,omitempty"`
}

// PlacementNotice tells the entry that has placed a request how it goes on.
type PlacementNotice struct {
	Entry       string `msgpack:"e"`
	Incarnation uint64 `msgpack:"k"`
	Lease       uint64 `msgpack:"l"`
	// Ended tells that the lease is over with Result; otherwise the first answer has
	// arrived.
	Ended  bool  `msgpack:"d,omitempty"`
	Result uint8 `msgpack:"r,omitempty"`
}

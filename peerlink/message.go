// Package peerlink is the protocol between agents and entries: pieces of
// weights over TCP, and load reports in datagrams. Messages are encoded with
// msgpack, which delimits itself.
package peerlink

// PieceRequest is what an agent sends to a peer. The first one on a connection names
// the version and asks for no piece; the peer then tells which pieces it has,
// now and whenever that changes.
type PieceRequest struct {
	Model   string `msgpack:"m,omitempty"`
	Version int    `msgpack:"v,omitempty"`
	// Piece is the wanted piece; NoPiece asks for none.
	Piece int `msgpack:"p"`
}

const (
	// NoPiece is the number of no piece.
	NoPiece = -1
	// ManifestOnly asks for the manifest: the peer answers with the SHA-256 digests of
	// the pieces, one after another, and ends the connection.
	ManifestOnly = -2
)

// PieceResponse is what a peer sends.
type PieceResponse struct {
	// Have are pieces that the peer has since the last answer.
	Have []int `msgpack:"h,omitempty"`
	// Piece is the piece that was asked for, or NoPiece.
	Piece int `msgpack:"p"`
	// Data are its bytes; none mean that the peer does not have it.
	Data []byte `msgpack:"d,omitempty"`
}

// Datagram is one message without a connection; one field is set.
type Datagram struct {
	Subscription      *Subscription      `msgpack:"b,omitempty"`
	Status            *Status            `msgpack:"s,omitempty"`
	EntryLoad         *EntryLoad         `msgpack:"u,omitempty"`
	PlacementRequest  *PlacementRequest  `msgpack:"q,omitempty"`
	PlacementResponse *PlacementResponse `msgpack:"a,omitempty"`
	PlacementNotice   *PlacementNotice   `msgpack:"n,omitempty"`
	Gossip            *Gossip            `msgpack:"c,omitempty"`
}

// Subscription asks an agent for load reports for a few seconds.
type Subscription struct {
	// Entry is the instance of the entry that asks, Region its region.
	Entry  string `msgpack:"e"`
	Region string `msgpack:"r"`
	// Incarnation differs between the starts of the entry.
	Incarnation uint64 `msgpack:"k,omitempty"`
	// EveryChange asks for each change of the load; otherwise reports come once a second.
	EveryChange bool `msgpack:"l,omitempty"`
	// Draining tells that the entry is about to stop.
	Draining bool `msgpack:"x,omitempty"`
	// Target is nil while the entry does not know it.
	Target *Target `msgpack:"t,omitempty"`
}

// Target is the version that an engine must serve, and where its weights come
// from. Entries announce it, so that agents need not read the configuration,
// which may be large.
type Target struct {
	// ConfigVersion is the version of the configuration that names the origin.
	ConfigVersion int64  `msgpack:"c"`
	Model         string `msgpack:"m"`
	Version       int    `msgpack:"v"`
	// Origin is the IP address and port of the origin.
	Origin string `msgpack:"o"`
	// OriginPieceMicros is the time in microseconds that the origin's link takes for one
	// piece; zero if it is not known.
	OriginPieceMicros int64 `msgpack:"p"`
}

// Status is an agent's report on its backend server.
type Status struct {
	// Address is the IP address and port of the backend server.
	Address string `msgpack:"a"`
	// StartUnixMilli is the start of the backend server in Unix milliseconds.
	StartUnixMilli int64 `msgpack:"b"`
	// Running and Waiting count requests.
	Running int `msgpack:"r"`
	Queued  int `msgpack:"w"`
	// AgeMicros is the age of these counts in microseconds.
	AgeMicros int64 `msgpack:"k,omitempty"`
	// PrefillTokens are the prompts without a first answer, of all entries that
	// tell the agent.
	PrefillTokens int `msgpack:"t"`
	// Slowdown is how much slower than declared the engine works.
	Slowdown float64 `msgpack:"p"`
	// Closed tells that no requests should be sent now.
	Closed bool `msgpack:"c"`
	// Model and Version are the loaded weights; an empty model means none.
	Model   string `msgpack:"m"`
	Version int    `msgpack:"v"`
	// Region is the agent's region, Neighbours addresses of entries there: some of
	// them at a time, so that a datagram holds them.
	Region     string   `msgpack:"z,omitempty"`
	Neighbours []string `msgpack:"g,omitempty"`
	// Sequence orders the reports of one agent.
	Sequence uint64 `msgpack:"s"`
}

// EntryLoad is what an entry has placed at an engine. It tells the engine's agent at
// each change, as engines do not report the prompts that wait.
type EntryLoad struct {
	// Entry is the instance of the sender.
	Entry string `msgpack:"e"`
	// PrefillTokens are the prompt tokens of its requests without a first answer.
	PrefillTokens int `msgpack:"t"`
	// Sequence orders the messages of one entry.
	Sequence uint64 `msgpack:"s"`
}

// Package peerlink defines the protocol between agents and entries: pieces of
// weights over TCP, and load reports, placements and gossip in UDP datagrams.
// Messages are encoded with msgpack, which is self-delimiting.
package peerlink

import "time"

// PieceRequest is sent by an agent to a peer. The first one on a connection
// names the version and requests no piece; the peer then announces which pieces
// it has, at once and whenever that changes.
type PieceRequest struct {
	Model   string `msgpack:"m,omitempty"`
	Version int    `msgpack:"v,omitempty"`
	// Piece is the requested piece, or NoPiece.
	Piece int `msgpack:"p"`
}

const (
	// NoPiece is the piece number of a message that requests or carries no piece.
	NoPiece = -1
	// ManifestOnly requests the manifest. The peer responds with the concatenated
	// SHA-256 digests of the pieces and closes the connection.
	ManifestOnly = -2
)

// PieceResponse is sent by a peer in response to a request, or to announce
// pieces.
type PieceResponse struct {
	// Have lists the pieces that the peer has received since its last announcement.
	Have []int `msgpack:"h,omitempty"`
	// Piece is the requested piece, or NoPiece.
	Piece int `msgpack:"p"`
	// Data is the content of the piece, and empty if the peer doesn't have it.
	Data []byte `msgpack:"d,omitempty"`
	// Narrow is set while pieces arrive slowly on the peer's link, so that it leaves
	// those of the origin and of other regions to others.
	Narrow bool `msgpack:"n,omitempty"`
}

// Datagram is one message of the connectionless protocol. Exactly one field is
// set.
type Datagram struct {
	Subscription      *Subscription      `msgpack:"b,omitempty"`
	Status            *Status            `msgpack:"s,omitempty"`
	EntryLoad         *EntryLoad         `msgpack:"u,omitempty"`
	PlacementRequest  *PlacementRequest  `msgpack:"q,omitempty"`
	PlacementResponse *PlacementResponse `msgpack:"a,omitempty"`
	PlacementNotice   *PlacementNotice   `msgpack:"n,omitempty"`
	Gossip            *Gossip            `msgpack:"c,omitempty"`
	Verified          *Verified          `msgpack:"v,omitempty"`
	ReportAck         *ReportAck         `msgpack:"k,omitempty"`
}

// Subscription subscribes an entry to an agent's load reports for a few seconds.
type Subscription struct {
	// Entry is the instance of the subscribing entry, Region its region.
	Entry  string `msgpack:"e"`
	Region string `msgpack:"r"`
	// Incarnation differs between the process starts of the entry.
	Incarnation uint64 `msgpack:"k,omitempty"`
	// EveryChange requests a report at each change of the load; otherwise reports
	// are sent once per interval.
	EveryChange bool `msgpack:"l,omitempty"`
	// IntervalMillis is the time in milliseconds after which the entry renews the
	// subscription, and after which it expects an unchanged report. Zero means a second.
	IntervalMillis int64 `msgpack:"i,omitempty"`
	// Draining means that the entry is about to stop.
	Draining bool `msgpack:"x,omitempty"`
	// Refresh requests a report at once.
	Refresh bool `msgpack:"f,omitempty"`
	// Target is nil while the entry doesn't know it.
	Target *Target `msgpack:"t,omitempty"`
}

// Target is the version that an engine must serve, and the origin of its
// weights. Entries announce it, so that agents need not read the configuration,
// which may be large.
type Target struct {
	// ConfigVersion is the version of the configuration that names the origin.
	ConfigVersion int64  `msgpack:"c"`
	Model         string `msgpack:"m"`
	Version       int    `msgpack:"v"`
	// Origin is the IP address and port of the origin.
	Origin string `msgpack:"o"`
	// OriginPieceMicros is the time in microseconds that one piece takes on the
	// origin's link, or zero if it is unknown.
	OriginPieceMicros int64 `msgpack:"p"`
	// Layers is the number of layers of the model, or zero if it is unknown.
	Layers int `msgpack:"l,omitempty"`
	// Pieces is the number of pieces of the model, or zero if it is unknown.
	Pieces int `msgpack:"n,omitempty"`
	// AgeMillis is the longest time in milliseconds for which the version may have been
	// declared when this was sent.
	AgeMillis int64 `msgpack:"a,omitempty"`
}

// Status is an agent's report on its backend server.
type Status struct {
	// Address is the IP address and port of the backend server.
	Address string `msgpack:"a"`
	// StartUnixMilli is the start of the backend server in Unix milliseconds.
	StartUnixMilli int64 `msgpack:"b"`
	// Running and Queued count requests.
	Running int `msgpack:"r"`
	Queued  int `msgpack:"w"`
	// AgeMicros is the age of these counts in microseconds.
	AgeMicros int64 `msgpack:"k,omitempty"`
	// PrefillTokens are the prompt tokens of requests that have no first token yet,
	// over all entries that report them to the agent.
	PrefillTokens int `msgpack:"t"`
	// Slowdown is the factor by which the engine is slower than declared.
	Slowdown float64 `msgpack:"p"`
	// LinkDelayMicros is how long data may wait on the instance's link, in microseconds,
	// while pieces arrive slowly; zero otherwise.
	LinkDelayMicros int64 `msgpack:"l,omitempty"`
	// Closed means that no requests should be sent now.
	Closed bool `msgpack:"c"`
	// Draining means that the backend server has told the agent that it drains.
	Draining bool `msgpack:"d,omitempty"`
	// Model and Version identify the loaded weights; an empty model means none.
	Model   string `msgpack:"m"`
	Version int    `msgpack:"v"`
	// OrdersAccepted is the number of load orders that the engine has accepted since its
	// start.
	OrdersAccepted int64 `msgpack:"o,omitempty"`
	// Unverified means that the engine is closed because the agent doesn't know whether its
	// weights are intact. An entry that knows responds with Verified.
	Unverified bool `msgpack:"u,omitempty"`
	// Acknowledge requests a ReportAck, in a report that does not open the engine.
	Acknowledge bool `msgpack:"e,omitempty"`
	// Region is the agent's region. Neighbours are addresses of entries there, a
	// subset that fits into a datagram.
	Region     string   `msgpack:"z,omitempty"`
	Neighbours []string `msgpack:"g,omitempty"`
	// Incarnation differs between the process starts of the agent. Sequence orders the
	// reports of one of them.
	Incarnation uint64 `msgpack:"i,omitempty"`
	Sequence    uint64 `msgpack:"s"`
}

// OpensEngine reports whether entries may send the engine requests by a report.
func (s *Status) OpensEngine() bool { return s.Model != "" && !s.Closed }

// Verified tells an agent that it, or an earlier process of it, reported the weights of
// its engine as intact: those that the engine held after a number of orders since a start.
type Verified struct {
	StartUnixMilli int64 `msgpack:"b"`
	OrdersAccepted int64 `msgpack:"o,omitempty"`
}

// ReportAck tells an agent that an entry has applied a report which does not open the
// engine: the entry uses the engine by no earlier one.
type ReportAck struct {
	// Incarnation and Sequence are those of the report.
	Incarnation uint64 `msgpack:"i"`
	Sequence    uint64 `msgpack:"s"`
	// FirstStart is the start of the engine that the report is about if the entry knows that
	// it is the first one under its ID, so that no report on an earlier start is on that ID.
	// It is zero otherwise.
	FirstStart int64 `msgpack:"f,omitempty"`
}

// VerifiedTTL is how long a report that an engine's weights are intact counts. It is longer
// than two intervals of subscriptions, so that one lost report closes no engine. The engine
// takes layers of the same version again only when no entry may have such a report: entries
// acknowledge that, or as much time has passed, or the engine has started under a new ID.
const VerifiedTTL = 8 * time.Second

// EntryLoad is the work that an entry has placed on an engine. The entry sends
// it to the engine's agent at each change, because engines don't report waiting
// prompts.
type EntryLoad struct {
	// Entry is the instance of the sender.
	Entry string `msgpack:"e"`
	// PrefillTokens are the prompt tokens of the entry's requests that have no
	// first token yet.
	PrefillTokens int `msgpack:"t"`
	// Incarnation differs between the process starts of the entry. Sequence orders the
	// messages of one of them.
	Incarnation uint64 `msgpack:"i,omitempty"`
	Sequence    uint64 `msgpack:"s"`
}

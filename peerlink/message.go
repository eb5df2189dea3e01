// Package peerlink is the protocol between agents and entries: pieces of
// weights over TCP, and load reports in datagrams. Messages are encoded with
// msgpack, which delimits itself.
package peerlink

// Query is what an agent sends to a peer. The first one on a connection names
// the version and asks for no piece; the peer then tells which pieces it has,
// now and whenever that changes.
type Query struct {
	Model   string `msgpack:"m,omitempty"`
	Version int    `msgpack:"v,omitempty"`
	// Piece is the wanted piece; NoPiece asks for none.
	Piece int `msgpack:"p"`
}

// NoPiece is the number of no piece.
const NoPiece = -1

// Answer is what a peer sends.
type Answer struct {
	// Have are pieces that the peer has since the last answer.
	Have []int `msgpack:"h,omitempty"`
	// Piece is the piece that was asked for, or NoPiece.
	Piece int `msgpack:"p"`
	// Data are its bytes; none mean that the peer does not have it.
	Data []byte `msgpack:"d,omitempty"`
}

// Subscription asks an agent for load reports for a few seconds.
type Subscription struct {
	// Entry is the instance of the entry that asks.
	Entry string `msgpack:"e"`
}

// Status is an agent's report on its backend server.
type Status struct {
	// Address is the IP address and port of the backend server.
	Address string `msgpack:"a"`
	// Born is the start of the backend server in Unix milliseconds.
	Born int64 `msgpack:"b"`
	// Running and Waiting count requests.
	Running int `msgpack:"r"`
	Waiting int `msgpack:"w"`
	// Pace is how much slower than declared the engine works.
	Pace float64 `msgpack:"p"`
	// Closed tells that no requests should be sent now.
	Closed bool `msgpack:"c"`
	// Model and Version are the loaded weights; an empty model means none.
	Model   string `msgpack:"m"`
	Version int    `msgpack:"v"`
	// Entries is the number of entries that subscribe.
	Entries int `msgpack:"n"`
	// Sequence orders the reports of one agent.
	Sequence uint64 `msgpack:"s"`
}

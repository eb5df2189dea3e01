package wire

import (
	"github.com/auburnbend/auburnbend/lib/model"
)

// Assignment assigns to an agent the source from which to fetch one chunk.
type Assignment struct {
	// Grant identifies the assignment.
	Grant uint64 `msgpack:"g"`
	// Chunk is the index of the chunk in the manifest.
	Chunk int `msgpack:"c"`
	// Source is the peer address of an agent. If empty, the source is the origin.
	Source string `msgpack:"s"`
	// DeadlineMillis is the time until the assignment expires, in milliseconds.
	DeadlineMillis int64 `msgpack:"d"`
}

// Assign replies to an Announce. Trackers also send it unrequested.
type Assign struct {
	Manifest    model.Digest `msgpack:"m"`
	Assignments []Assignment `msgpack:"a"`
	// ReannounceMillis is the maximum time until the next Announce, in milliseconds.
	ReannounceMillis int64 `msgpack:"r"`
	// Peers lists the addresses of agents that hold chunks, for use without a tracker.
	Peers []string `msgpack:"p"`
	// Sequence is the sequence number of the last Announce on the connection. It
	// acknowledges the announcements, which the arrival of an Assign alone does not,
	// because it may be unrequested.
	Sequence uint64 `msgpack:"q"`
}

// Type returns TypeAssign.
func (*Assign) Type() Type { return TypeAssign }

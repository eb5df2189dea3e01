package wire

import (
	"github.com/auburnbend/auburnbend/lib/model"
)

// Assignment tells an agent where to take one chunk from.
type Assignment struct {
	Grant uint64 `msgpack:"g"`
	Chunk int    `msgpack:"c"`
	// Source is the peer address of an agent; it is empty for the origin.
	Source string `msgpack:"s"`
	// DeadlineMillis is the time until the assignment expires, in milliseconds.
	DeadlineMillis int64 `msgpack:"d"`
}

// Assign answers an Announce.
type Assign struct {
	Manifest    model.Digest `msgpack:"m"`
	Assignments []Assignment `msgpack:"a"`
	// ReannounceMillis is the time after which to announce again at the latest.
	ReannounceMillis int64 `msgpack:"r"`
	// Peers are addresses of agents that hold chunks, for use without a tracker.
	Peers []string `msgpack:"p"`
	// Sequence is that of the last Announce on the connection. Assignments are
	// also pushed, so only this shows that announcements arrive.
	Sequence uint64 `msgpack:"q"`
}

// Type returns TypeAssign.
func (*Assign) Type() Type { return TypeAssign }

package wire

import (
	"github.com/auburnbend/auburnbend/lib/model"
)

// Announce tells a tracker what an agent holds of a manifest.
type Announce struct {
	Manifest model.Digest `msgpack:"m"`
	// ChunkBitmap is a bitmap of verified chunks, least significant bit first.
	ChunkBitmap []byte `msgpack:"h"`
	// FailedGrants lists grants that the agent gives up, with what went wrong.
	FailedGrants []GrantFailure `msgpack:"f"`
	// ActiveUploads is the number of chunks that the agent is sending now.
	ActiveUploads int `msgpack:"u"`
	// RequestedAssignments is the number of further chunks that the agent wants assigned.
	RequestedAssignments int `msgpack:"s"`
	// ActiveAssignments is the number of assignments that the agent has not finished. The
	// tracker subtracts from Slots those that crossed with this message.
	ActiveAssignments int `msgpack:"a"`
	// Sequence numbers the announcements on one connection from 1.
	Sequence uint64 `msgpack:"q"`
}

// GrantFailure reports an assignment that did not deliver its chunk.
type GrantFailure struct {
	Grant   uint64 `msgpack:"g"`
	Corrupt bool   `msgpack:"c"`
	// Busy means that the source had no free slot or asked to come back later,
	// which says nothing against the link to it.
	Busy bool `msgpack:"b"`
}

// Type returns TypeAnnounce.
func (*Announce) Type() Type { return TypeAnnounce }

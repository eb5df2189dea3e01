package wire

import (
	"github.com/auburnbend/auburnbend/lib/model"
)

// Announce tells a tracker which chunks of a manifest an agent holds, and requests
// assignments of further chunks.
type Announce struct {
	Manifest model.Digest `msgpack:"m"`
	// ChunkBitmap is a bitmap of the verified chunks, least significant bit first.
	ChunkBitmap []byte `msgpack:"h"`
	// FailedGrants lists the grants that failed since the last announcement.
	FailedGrants []GrantFailure `msgpack:"f"`
	// ActiveUploads is the number of chunks that the agent is currently sending.
	ActiveUploads int `msgpack:"u"`
	// RequestedAssignments is the number of further chunks that the agent requests.
	RequestedAssignments int `msgpack:"s"`
	// ActiveAssignments is the number of assignments that the agent has received but
	// not finished. From RequestedAssignments, the tracker subtracts the assignments
	// that were still in transit when this message was sent.
	ActiveAssignments int `msgpack:"a"`
	// Sequence numbers the announcements on one connection, starting from 1.
	Sequence uint64 `msgpack:"q"`
}

// GrantFailure reports an assignment that did not deliver its chunk.
type GrantFailure struct {
	Grant uint64 `msgpack:"g"`
	// Corrupt means that the received chunk failed verification.
	Corrupt bool `msgpack:"c"`
	// Busy means that the source had no free upload slot or asked to retry later. This
	// does not indicate a problem with the link to it.
	Busy bool `msgpack:"b"`
}

// Type returns TypeAnnounce.
func (*Announce) Type() Type { return TypeAnnounce }

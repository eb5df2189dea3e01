package wire

import (
	"github.com/auburnbend/auburnbend/lib/model"
)

// ResponseAck confirms the frames of a response, so that the agent can drop them from
// its replay buffer.
type ResponseAck struct {
	Attempt model.AttemptID `msgpack:"a"`
	// NextSequence is the sequence number after the last confirmed frame. One more than
	// the number of frames also confirms the ResponseEnd.
	NextSequence uint64 `msgpack:"n"`
}

// Type returns TypeResponseAck.
func (*ResponseAck) Type() Type { return TypeResponseAck }

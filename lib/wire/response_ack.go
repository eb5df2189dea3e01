package wire

import (
	"github.com/auburnbend/auburnbend/lib/model"
)

// ResponseAck lets the agent free its replay buffer up to Next.
type ResponseAck struct {
	Attempt      model.AttemptID `msgpack:"a"`
	NextSequence uint64          `msgpack:"n"`
}

// Type returns TypeResponseAck.
func (*ResponseAck) Type() Type { return TypeResponseAck }

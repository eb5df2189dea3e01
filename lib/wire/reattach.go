package wire

import (
	"github.com/auburnbend/auburnbend/lib/model"
)

// Reattach requests the response of an attempt on a new connection.
type Reattach struct {
	Attempt model.AttemptID `msgpack:"a"`
	// NextSequence is the sequence number of the first frame to send.
	NextSequence uint64 `msgpack:"n"`
}

// Type returns TypeReattach.
func (*Reattach) Type() Type { return TypeReattach }

package wire

import (
	"github.com/auburnbend/auburnbend/lib/model"
)

// Reattach asks for an answer from a sequence number on, over a new connection.
type Reattach struct {
	Attempt      model.AttemptID `msgpack:"a"`
	NextSequence uint64          `msgpack:"n"`
}

// Type returns TypeReattach.
func (*Reattach) Type() Type { return TypeReattach }

package wire

import (
	"github.com/auburnbend/auburnbend/lib/model"
)

// ResponseFrame carries a piece of a response. Sequence numbers start at 0.
type ResponseFrame struct {
	Attempt  model.AttemptID `msgpack:"a"`
	Sequence uint64          `msgpack:"s"`
	Data     []byte          `msgpack:"d"`
}

// Type returns TypeResponseFrame.
func (*ResponseFrame) Type() Type { return TypeResponseFrame }

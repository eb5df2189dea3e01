package wire

import (
	"github.com/auburnbend/auburnbend/lib/model"
)

// RequestCancel cancels an attempt whose caller has disconnected.
type RequestCancel struct {
	Attempt model.AttemptID `msgpack:"a"`
}

// Type returns TypeRequestCancel.
func (*RequestCancel) Type() Type { return TypeRequestCancel }

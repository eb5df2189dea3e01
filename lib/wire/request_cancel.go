package wire

import (
	"github.com/auburnbend/auburnbend/lib/model"
)

// RequestCancel ends an attempt whose caller has gone.
type RequestCancel struct {
	Attempt model.AttemptID `msgpack:"a"`
}

// Type returns TypeRequestCancel.
func (*RequestCancel) Type() Type { return TypeRequestCancel }

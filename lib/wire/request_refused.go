package wire

import (
	"github.com/auburnbend/auburnbend/lib/model"
	"github.com/auburnbend/auburnbend/lib/outcome"
)

// RequestRefused refuses an attempt. It proves that the backend server has not run the
// attempt and will not run it.
type RequestRefused struct {
	Attempt          model.AttemptID `msgpack:"a"`
	Reason           outcome.Reason  `msgpack:"r"`
	RetryAfterMillis int64           `msgpack:"m"`
}

// Type returns TypeRequestRefused.
func (*RequestRefused) Type() Type { return TypeRequestRefused }

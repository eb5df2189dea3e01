package wire

import (
	"github.com/auburnbend/auburnbend/lib/model"
	"github.com/auburnbend/auburnbend/lib/outcome"
)

// ResponseEnd closes an answer. Without it an answer is incomplete.
type ResponseEnd struct {
	Attempt     model.AttemptID `msgpack:"a"`
	Outcome     outcome.Outcome `msgpack:"o"`
	Reason      outcome.Reason  `msgpack:"r"`
	Status      int             `msgpack:"s"` // HTTP status of the backend server
	ContentType string          `msgpack:"y"`
	Frames      uint64          `msgpack:"n"`
	Digest      model.Digest    `msgpack:"d"` // over the data of all frames
}

// Type returns TypeResponseEnd.
func (*ResponseEnd) Type() Type { return TypeResponseEnd }

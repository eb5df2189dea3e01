package wire

import (
	"github.com/auburnbend/auburnbend/lib/model"
	"github.com/auburnbend/auburnbend/lib/outcome"
)

// ResponseEnd ends a response. A response without it is incomplete.
type ResponseEnd struct {
	Attempt     model.AttemptID `msgpack:"a"`
	Outcome     outcome.Outcome `msgpack:"o"`
	Reason      outcome.Reason  `msgpack:"r"`
	Status      int             `msgpack:"s"` // HTTP status of the backend server
	ContentType string          `msgpack:"y"`
	Frames      uint64          `msgpack:"n"` // number of frames
	Digest      model.Digest    `msgpack:"d"` // over the data of all frames
}

// Type returns TypeResponseEnd.
func (*ResponseEnd) Type() Type { return TypeResponseEnd }

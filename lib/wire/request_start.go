package wire

import (
	"github.com/auburnbend/auburnbend/lib/model"
)

// RequestStart hands one attempt of a request to an agent.
type RequestStart struct {
	Request         model.RequestID   `msgpack:"r"`
	Attempt         model.AttemptID   `msgpack:"a"`
	Tenant          model.Tenant      `msgpack:"t"`
	Class           model.Class       `msgpack:"c"`
	Service         model.Service     `msgpack:"s"`
	Weights         model.Weights     `msgpack:"w"`
	Fingerprint     model.Fingerprint `msgpack:"f"`
	RemainingMillis int64             `msgpack:"d"` // milliseconds until the deadline
	Hop             int               `msgpack:"h"`
	Priority        int               `msgpack:"p"`
	// Repeatable allows the agent to start the request again on its backend
	// server after a failure that may have run it.
	Repeatable  bool   `msgpack:"e"`
	ContentType string `msgpack:"y"`
	// Suspect says that the request was in flight when a backend server crashed.
	// The agent runs one suspect at a time.
	Suspect bool `msgpack:"u"`
	// IdempotencyKey is passed on to plain services that understand it.
	IdempotencyKey string `msgpack:"k"`
	Body           []byte `msgpack:"b"`
}

// Type returns TypeRequestStart.
func (*RequestStart) Type() Type { return TypeRequestStart }

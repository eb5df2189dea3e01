package wire

import (
	"github.com/auburnbend/auburnbend/lib/memory"
	"github.com/auburnbend/auburnbend/lib/model"
)

// RequestStart sends one attempt of a request to an agent.
type RequestStart struct {
	Request         model.RequestID   `msgpack:"r"`
	Attempt         model.AttemptID   `msgpack:"a"`
	Tenant          model.Tenant      `msgpack:"t"`
	Class           model.Class       `msgpack:"c"`
	Service         model.Service     `msgpack:"s"`
	Weights         model.Weights     `msgpack:"w"`
	Fingerprint     model.Fingerprint `msgpack:"f"`
	RemainingMillis int64             `msgpack:"d"` // time until the deadline
	Hop             int               `msgpack:"h"`
	Priority        int               `msgpack:"p"`
	// Repeatable means that the request may run more than once. The agent cancels only
	// repeatable attempts; others always run to their end.
	Repeatable  bool   `msgpack:"e"`
	ContentType string `msgpack:"y"`
	// Suspect means that the request was in flight when a backend server crashed. An
	// agent runs one suspect at a time.
	Suspect bool `msgpack:"u"`
	// IdempotencyKey is passed to plain services, which may support it.
	IdempotencyKey string `msgpack:"k"`
	Body           []byte `msgpack:"b"`

	// Room is the room of the body at the receiver, which releases it when it no longer
	// holds the body. It is nil for a short body, and where Conn.LimitBodies was not called.
	Room *memory.Shared `msgpack:"-"`
	// BodyDropped means that the receiver had no room for the body.
	BodyDropped bool `msgpack:"-"`
}

// Type returns TypeRequestStart.
func (*RequestStart) Type() Type { return TypeRequestStart }

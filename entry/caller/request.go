package caller

import (
	"time"

	"github.com/auburnbend/auburnbend/lib/config"
	"github.com/auburnbend/auburnbend/lib/memory"
	"github.com/auburnbend/auburnbend/lib/model"
)

// Request is a validated request of a caller.
type Request struct {
	ID      model.RequestID
	Tenant  config.Tenant
	Class   config.Class
	Service config.Service
	// Deadline is the time after which the caller no longer needs the response.
	Deadline       time.Time
	Received       time.Time
	IdempotencyKey string
	// ClaimProof is the proof that the caller received with an earlier response
	// and sends with a retry under the same key.
	ClaimProof  string
	ContentType string
	Body        []byte
	// Room is the room of a long body, and nil for a short one. The server releases it when
	// Handler returns. Whoever keeps the body for longer holds it.
	Room *memory.Shared
}

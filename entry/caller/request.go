package caller

import (
	"time"

	"github.com/auburnbend/auburnbend/lib/config"
	"github.com/auburnbend/auburnbend/lib/model"
)

// Request is one caller's request after validation.
type Request struct {
	ID      model.RequestID
	Tenant  config.Tenant
	Class   config.Class
	Service config.Service
	// Deadline is the time after which an answer is of no use to the caller.
	Deadline       time.Time
	Received       time.Time
	IdempotencyKey string
	// ClaimProof is what an earlier answer gave the caller to present when it
	// asks again with the same key.
	ClaimProof  string
	ContentType string
	Body        []byte
}

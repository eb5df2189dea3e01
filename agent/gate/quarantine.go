package gate

import (
	"time"

	"github.com/auburnbend/auburnbend/lib/model"
)

// Quarantine is the agent's local view of requests that crash backend servers.
// poison.Monitor implements it.
type Quarantine interface {
	Quarantined(now time.Time, finger model.Fingerprint) bool
}

package gate

import (
	"time"

	"github.com/auburnbend/auburnbend/lib/model"
)

// Quarantine knows which requests crash backend servers.
// poison.Monitor implements it.
type Quarantine interface {
	// Quarantined reports whether requests with this fingerprint must not run.
	Quarantined(now time.Time, fingerprint model.Fingerprint) bool
}

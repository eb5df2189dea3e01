package admit

import (
	"time"

	"github.com/auburnbend/auburnbend/lib/outcome"
)

// Refusal describes a request that was rejected without being run. The caller
// is answered immediately.
type Refusal struct {
	Request    Request
	Reason     outcome.Reason
	RetryAfter time.Duration
}

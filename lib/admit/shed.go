package admit

import (
	"time"

	"github.com/auburnbend/auburnbend/lib/outcome"
)

// Refusal is a request that is refused. Its outcome is always NotRun, and it is
// answered at once.
type Refusal struct {
	Request    Request
	Reason     outcome.Reason
	RetryAfter time.Duration
}

package admit

import (
	"time"

	"github.com/auburnbend/auburnbend/lib/outcome"
)

// Shed is a request that is refused. Its outcome is always NotRun, and it is
// answered at once.
type Shed struct {
	Request    Request
	Reason     outcome.Reason
	RetryAfter time.Duration
}

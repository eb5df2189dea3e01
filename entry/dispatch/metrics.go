package dispatch

import (
	"time"

	"github.com/auburnbend/auburnbend/lib/model"
	"github.com/auburnbend/auburnbend/lib/outcome"
)

// Metrics records measurements of requests. Implementations must be safe for
// concurrent use and must not block.
type Metrics interface {
	ObserveQueueTime(tenant model.Tenant, class model.Class, d time.Duration)
	ObserveFirstToken(tenant model.Tenant, class model.Class, d time.Duration)
	ObserveBetweenTokens(tenant model.Tenant, class model.Class, d time.Duration)
	ObserveTotal(tenant model.Tenant, class model.Class, d time.Duration, o outcome.Outcome, reason outcome.Reason)
}

package dispatch

import (
	"time"

	"github.com/auburnbend/auburnbend/lib/model"
	"github.com/auburnbend/auburnbend/lib/outcome"
)

// Metrics takes the measurements of requests. Implementations are safe for
// concurrent use and do not block.
type Metrics interface {
	ObserveQueueTime(tenant model.Tenant, class model.Class, d time.Duration)
	ObserveFirstToken(tenant model.Tenant, class model.Class, d time.Duration)
	ObserveBetweenTokens(tenant model.Tenant, class model.Class, d time.Duration)
	ObserveTotal(tenant model.Tenant, class model.Class, d time.Duration, o outcome.Outcome, reason outcome.Reason)
}

package gateway

import (
	"time"

	"github.com/auburnbend/auburnbend/peerlink"
)

// earlyStatus is a report, the time of its arrival, and one before it was sent.
type earlyStatus struct {
	status                peerlink.Status
	receivedAt, sentAfter time.Time
}

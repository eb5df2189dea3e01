package gateway

import (
	"time"

	"github.com/auburnbend/auburnbend/peerlink"
)

// earlyStatus is a report and the time of its arrival.
type earlyStatus struct {
	status     peerlink.Status
	receivedAt time.Time
}

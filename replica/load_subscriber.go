package replica

import (
	"time"

	"github.com/auburnbend/auburnbend/peerlink"
)

// subscriber is an entry that subscribed to reports.
type subscriber struct {
	seenAt time.Time
	// reportedAt is when the last unchanged report was sent, interval the time between
	// two of them and between two renewals of the subscription.
	reportedAt time.Time
	interval   time.Duration
	region     string
	// incarnation distinguishes the process starts of an entry.
	incarnation uint64
	// everyChange requests a report at each load change; draining marks an entry
	// that is about to stop.
	everyChange, draining bool
}

// current reports whether the subscription has not expired. One lost renewal does not end
// it.
func (s *subscriber) current(now time.Time) bool {
	return now.Sub(s.seenAt) <= 2*(s.interval+refreshInterval)
}

// due reports whether an unchanged report is due. Reports are sent in steps of
// refreshInterval.
func (s *subscriber) due(now time.Time) bool {
	return now.Sub(s.reportedAt) >= s.interval-refreshInterval/2
}

// subscriptionInterval returns the interval of a subscription.
func subscriptionInterval(s *peerlink.Subscription) time.Duration {
	millis := min(max(s.IntervalMillis, refreshInterval.Milliseconds()), maxSubscriptionInterval.Milliseconds())
	return time.Duration(millis) * time.Millisecond
}

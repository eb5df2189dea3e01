package pace

import "time"

const (
	// settleTime is the time after the first request of a service in which servers that
	// appear are taken for ones that were there before: the deployment, or this entry, is
	// starting.
	settleTime = 3 * time.Second
	// idleTime is the time after the last request after which a service has no load.
	idleTime = 10 * time.Second
)

// Activity is when a service has had requests.
type Activity struct{ first, last time.Time }

// Placed records a request.
func (a *Activity) Placed(now time.Time) {
	if !a.underLoad(now) {
		a.first = now
	}
	a.last = now
}

// Settled reports whether the service has been under load for a while, so that a server
// which appears now has started under load.
func (a *Activity) Settled(now time.Time) bool {
	return a.underLoad(now) && now.Sub(a.first) >= settleTime
}

func (a *Activity) underLoad(now time.Time) bool {
	return !a.last.IsZero() && now.Sub(a.last) < idleTime
}

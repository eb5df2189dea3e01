package pace

import "time"

const (
	// StartValidity is the time after a server has started, or has begun to accept
	// requests, within which its first request begins the limit of its concurrency. Later,
	// others have used it, or it has been idle for longer than it is slow.
	StartValidity = 10 * time.Second
	// settleTime is the time after the first request of a service in which servers that
	// appear are taken for ones that were there before: the deployment, or this entry, is
	// starting.
	settleTime = 3 * time.Second
	// maxClockDifference is the difference between the clocks of two machines that is
	// allowed for.
	maxClockDifference = 5 * time.Second
	// activityLifetime is the time after the last request after which what is known of a
	// service may be dropped if it has no servers.
	activityLifetime = 10 * time.Minute
	// idleTime is the time after the last request after which a service has no load.
	idleTime = 10 * time.Second
)

// StartedRecently reports whether a server that names the time of its start has started so
// recently that it may be slow. One that an entry sees for the first time may have run for
// long: its row or its connection may have been lost for a while, or the entry is new. A
// server without a start time, or with one that is in the future, counts as running.
func StartedRecently(started, now time.Time) bool {
	age := now.Sub(started)
	return !started.IsZero() && age >= -maxClockDifference && age <= StartValidity+maxClockDifference
}

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

// Expired reports whether the service has had no request for so long that nothing has to be
// kept for it.
func (a *Activity) Expired(now time.Time) bool { return now.Sub(a.last) >= activityLifetime }

func (a *Activity) underLoad(now time.Time) bool {
	return !a.last.IsZero() && now.Sub(a.last) < idleTime
}

package gateway

import (
	"sync"
	"time"
)

const (
	// maxSubscribeInterval is the longest interval of subscriptions. Reports that are
	// older do not count as current.
	maxSubscribeInterval = 3 * time.Second
	// membersPerInterval is the number of entries of a region for which an entry without a
	// duty adds subscribeInterval to its interval, so that an agent gets about as many
	// subscriptions a second however large its region is.
	membersPerInterval = 10
	// enginesPerInterval is the number of engines for which it may do so, so that agents
	// name the entries of the region several times within memberTTL.
	enginesPerInterval = 3
	// fastRenewalTime is how long an entry that has started, or has placed a request by itself,
	// renews its subscriptions at subscribeInterval.
	fastRenewalTime = 5 * time.Second
)

// subscriptionPace decides how often an entry renews its subscriptions. Entries that
// place requests for others, or that others follow, do so at subscribeInterval, and so
// does each entry that currently places its own requests: they need current reports. The
// others need only the list of entries. It is safe for concurrent use.
type subscriptionPace struct {
	mu sync.Mutex
	// fastUntil is the end of fastRenewalTime.
	fastUntil time.Time
	// askedAt is when this entry was last asked for a placement.
	askedAt time.Time
}

func newSubscriptionPace(now time.Time) *subscriptionPace {
	return &subscriptionPace{fastUntil: now.Add(fastRenewalTime)}
}

// renewFast records that current reports are needed, and reports whether they were not
// before.
func (p *subscriptionPace) renewFast(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	fresh := !now.Before(p.fastUntil)
	p.fastUntil = now.Add(fastRenewalTime)
	return fresh
}

// asked records a request that this entry places because another placer does not, and
// reports whether there was none within fastRenewalTime.
func (p *subscriptionPace) asked(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	fresh := p.askedAt.IsZero() || now.Sub(p.askedAt) > fastRenewalTime
	p.askedAt = now
	return fresh
}

// wasAsked reports whether this entry was asked for a placement within fastRenewalTime.
func (p *subscriptionPace) wasAsked(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return !p.askedAt.IsZero() && now.Sub(p.askedAt) <= fastRenewalTime
}

// interval returns the interval of an entry of a region with some members that subscribes
// to a number of engines. duty is set if it serves other entries or is stopping.
func (p *subscriptionPace) interval(duty bool, members, engines int, now time.Time) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	if duty || now.Before(p.fastUntil) {
		return subscribeInterval
	}
	intervals := min(members/membersPerInterval, engines/enginesPerInterval)
	return min(max(1, time.Duration(intervals))*subscribeInterval, maxSubscribeInterval)
}

// subscriptionInterval returns the current interval of this entry's subscriptions.
func (l *PeerLink) subscriptionInterval(placer bool, engines int) time.Duration {
	now := l.gateway.now()
	l.mu.Lock()
	members, duty := len(l.members.rank(placementDuty, now)), l.members.hasDuty(now)
	l.mu.Unlock()
	return l.pace.interval(placer || duty || l.gateway.Draining(), members, engines, now)
}

// needReports renews the subscriptions at once if they are renewed at a longer interval:
// this entry places a request by itself.
func (l *PeerLink) needReports() {
	if l.pace.renewFast(l.gateway.now()) {
		l.announceTargets()
	}
}

// followsEveryChange reports whether this entry needs a report at each change of an
// engine's load: it is the first placer, or places requests because the first one does
// not.
func (l *PeerLink) followsEveryChange() bool {
	if !l.isPlacer() {
		return false
	}
	return l.Rank(placementDuty)[0] == l.self || l.pace.wasAsked(l.gateway.now())
}

// noteAsked renews the subscriptions at once if this entry is asked for a placement for the
// first time in a while.
func (l *PeerLink) noteAsked() {
	if l.pace.asked(l.gateway.now()) {
		l.announceTargets()
	}
}

package admit

import "time"

// OverloadChange tells whether an overload has begun or ended.
type OverloadChange uint8

const (
	// OverloadUnchanged means that there was no change.
	OverloadUnchanged OverloadChange = iota
	// OverloadBegan means that a request was not admitted, the first one for a while.
	OverloadBegan
	// OverloadEnded means that all requests have been admitted for a while.
	OverloadEnded
)

// overloadEnd is the time without a request that was not admitted after which an overload has
// ended. It is longer than the pauses between the bursts of one rise of the load.
const overloadEnd = 5 * time.Second

// Overload is a period in which requests are not admitted.
type Overload struct {
	// Change tells whether the decision was the first one of a period or after it.
	Change OverloadChange
	// Duration is the time from the first to the last request that was not admitted, and
	// NotAdmitted their number. A request that waited counts once, also if it was admitted later.
	Duration    time.Duration
	NotAdmitted int
}

// overloadPeriod detects overloads.
type overloadPeriod struct {
	beganAt, lastAt time.Time
	notAdmitted     int
}

// record records the first decision on a request. It returns the current or last period, and
// what has changed.
func (p *overloadPeriod) record(admitted bool, now time.Time) Overload {
	if admitted {
		return p.endIfOver(now)
	}
	if p.notAdmitted == 0 {
		return p.begin(now)
	}
	p.lastAt = now
	p.notAdmitted++
	return p.overload(OverloadUnchanged)
}

// recordWaited records a decision on a request that has waited. Only its end counts, as it is
// offered many times, and it was counted when it began to wait.
func (p *overloadPeriod) recordWaited(d Decision, now time.Time) Overload {
	switch {
	case d == Admit:
		return p.endIfOver(now)
	case d == Wait:
		return Overload{}
	case p.notAdmitted == 0:
		return p.begin(now)
	}
	p.lastAt = now
	return p.overload(OverloadUnchanged)
}

func (p *overloadPeriod) begin(now time.Time) Overload {
	p.beganAt, p.lastAt, p.notAdmitted = now, now, 1
	return p.overload(OverloadBegan)
}

func (p *overloadPeriod) endIfOver(now time.Time) Overload {
	if now.Sub(p.lastAt) < overloadEnd {
		return Overload{}
	}
	return p.end()
}

// end ends the current period, if there is one.
func (p *overloadPeriod) end() Overload {
	if p.notAdmitted == 0 {
		return Overload{}
	}
	ended := p.overload(OverloadEnded)
	*p = overloadPeriod{}
	return ended
}

func (p *overloadPeriod) overload(change OverloadChange) Overload {
	return Overload{Change: change, Duration: p.lastAt.Sub(p.beganAt), NotAdmitted: p.notAdmitted}
}

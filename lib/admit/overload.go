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
	// NotAdmitted their number.
	Duration    time.Duration
	NotAdmitted int
}

// overloadPeriod detects overloads.
type overloadPeriod struct {
	beganAt, lastAt time.Time
	notAdmitted     int
}

// record records a decision. It returns the current or last period, and what has changed.
func (p *overloadPeriod) record(admitted bool, now time.Time) Overload {
	switch {
	case !admitted:
		change := OverloadUnchanged
		if p.notAdmitted == 0 {
			p.beganAt, change = now, OverloadBegan
		}
		p.lastAt = now
		p.notAdmitted++
		return p.overload(change)
	case p.notAdmitted > 0 && now.Sub(p.lastAt) >= overloadEnd:
		ended := p.overload(OverloadEnded)
		*p = overloadPeriod{}
		return ended
	default:
		return Overload{}
	}
}

func (p *overloadPeriod) overload(change OverloadChange) Overload {
	return Overload{Change: change, Duration: p.lastAt.Sub(p.beganAt), NotAdmitted: p.notAdmitted}
}

package node

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/auburnbend/auburnbend/gateway"
)

const (
	// balancerReactionTime is the time after which the load balancer sends no more
	// new connections to an entry that is not ready. It checks readiness once a
	// second and reacts to two failed checks.
	balancerReactionTime = 3 * time.Second
	// answerReserve is the part of StopTime that is reserved for the delivery of answers
	// to the requests that are still in progress, and for the exit of the process.
	answerReserve = 700 * time.Millisecond
	// exitReserve is the part of StopTime that is reserved for the exit of the process.
	// Streams that have not ended by then are cut.
	exitReserve = 400 * time.Millisecond
	// schedulePollInterval is how often a stop checks its schedule.
	schedulePollInterval = 5 * time.Millisecond
)

// stopSchedule derives the times of a stop from the stop time of the settings, which may
// change during the stop.
type stopSchedule struct {
	signalledAt time.Time
	// stopTime is in nanoseconds.
	stopTime *atomic.Int64
}

// before returns the time that is reserve before the end of the stop time, if that leaves
// the load balancer its time. A process whose stop time is shorter, or not known, stops
// as if it had that time.
func (s *stopSchedule) before(reserve time.Duration) time.Time {
	return s.signalledAt.Add(max(time.Duration(s.stopTime.Load()), balancerReactionTime+answerReserve) - reserve)
}

// drainTimes returns the times that decide which requests are served.
func (s *stopSchedule) drainTimes() gateway.DrainTimes {
	return gateway.DrainTimes{ListenerCloses: s.signalledAt.Add(balancerReactionTime), Ends: s.before(answerReserve)}
}

// run keeps the drain times of g up to date and ends the drain when it is due. It calls
// cut when connections must be cut, and returns then or when ctx ends.
func (s *stopSchedule) run(ctx context.Context, g *gateway.Gateway, cut func()) {
	ticker := time.NewTicker(schedulePollInterval)
	defer ticker.Stop()
	for {
		times, now := s.drainTimes(), time.Now()
		g.SetDrainTimes(times)
		if !now.Before(times.Ends) {
			g.EndDrain()
		}
		if !now.Before(s.before(exitReserve)) {
			cut()
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

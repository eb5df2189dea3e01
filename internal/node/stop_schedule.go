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
	// to the requests that are still in progress, and for the exit of the process. It is at
	// most a quarter of StopTime.
	answerReserve        = 700 * time.Millisecond
	answerReserveDivisor = 4
	// exitReserve is the part of StopTime that is reserved for the exit of the process.
	// Streams that have not ended by then are cut. It is at most an eighth of StopTime.
	exitReserve        = 400 * time.Millisecond
	exitReserveDivisor = 8
	// defaultStopTime applies if the settings name no stop time.
	defaultStopTime = balancerReactionTime + answerReserve
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

// times returns the times that decide which requests are served, and when connections
// are cut. The listener closes early if the stop time is shorter than the balancer's
// reaction.
func (s *stopSchedule) times() (drain gateway.DrainTimes, cutAt time.Time) {
	stop := time.Duration(s.stopTime.Load())
	if stop <= 0 {
		stop = defaultStopTime
	}
	ends := stop - min(answerReserve, stop/answerReserveDivisor)
	drain.ListenerCloses = s.signalledAt.Add(min(balancerReactionTime, ends))
	drain.Ends = s.signalledAt.Add(ends)
	return drain, s.signalledAt.Add(stop - min(exitReserve, stop/exitReserveDivisor))
}

// run keeps the drain times of g up to date. From when the listener must close it calls
// closeListener, any number of times. It ends the drain when that is due, and calls cut
// when connections must be cut. It returns then or when ctx ends.
func (s *stopSchedule) run(ctx context.Context, g *gateway.Gateway, closeListener, cut func()) {
	ticker := time.NewTicker(schedulePollInterval)
	defer ticker.Stop()
	for {
		times, cutAt := s.times()
		now := time.Now()
		g.SetDrainTimes(times)
		if !now.Before(times.ListenerCloses) {
			closeListener()
		}
		if !now.Before(times.Ends) {
			g.EndDrain()
		}
		if !now.Before(cutAt) {
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

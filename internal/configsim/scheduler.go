package configsim

import (
	"time"

	"github.com/auburnbend/auburnbend/lib/clock"
)

// scheduler runs events in the order of their simulated time.
type scheduler struct {
	clock *clock.Fake
	// now equals the time of clock. Events read it without taking the lock of
	// clock, which is expensive under the race detector.
	now          time.Time
	queue        eventQueue
	lastSequence uint64
}

func newScheduler(start time.Time) scheduler {
	return scheduler{clock: clock.NewFake(start), now: start}
}

func (s *scheduler) after(d time.Duration, run func()) {
	s.lastSequence++
	s.queue.push(&event{at: s.now.Add(max(0, d)).UnixNano(), sequence: s.lastSequence, run: run})
}

// runUntil runs all events up to and including end and then sets the clock to end.
func (s *scheduler) runUntil(end time.Time) {
	for len(s.queue) > 0 && s.queue[0].at <= end.UnixNano() {
		next := s.queue.pop()
		s.advance(time.Duration(next.at - s.now.UnixNano()))
		next.run()
	}
	s.advance(end.Sub(s.now))
}

func (s *scheduler) advance(d time.Duration) {
	if d > 0 {
		s.clock.Advance(d)
		s.now = s.now.Add(d)
	}
}

package configsim

import (
	"container/heap"
	"time"

	"github.com/auburnbend/auburnbend/lib/clock"
)

// event runs at a point in simulated time. Order breaks ties, so that a run is
// the same each time.
type event struct {
	at    time.Time
	order uint64
	run   func()
}

type events []event

func (e events) Len() int { return len(e) }

func (e events) Less(i, j int) bool {
	if e[i].at.Equal(e[j].at) {
		return e[i].order < e[j].order
	}
	return e[i].at.Before(e[j].at)
}

func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

// Push implements heap.Interface.
func (e *events) Push(x any) { *e = append(*e, x.(event)) }

// Pop implements heap.Interface.
func (e *events) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]
	return last
}

// scheduler runs events in the order of simulated time.
type scheduler struct {
	clock *clock.Fake
	queue events
	order uint64
}

func (s *scheduler) after(d time.Duration, run func()) {
	s.order++
	heap.Push(&s.queue, event{at: s.clock.Now().Add(max(0, d)), order: s.order, run: run})
}

// runUntil runs all events up to a time and leaves the clock there.
func (s *scheduler) runUntil(end time.Time) {
	for len(s.queue) > 0 && !s.queue[0].at.After(end) {
		next := heap.Pop(&s.queue).(event)
		if d := next.at.Sub(s.clock.Now()); d > 0 {
			s.clock.Advance(d)
		}
		next.run()
	}
	if d := end.Sub(s.clock.Now()); d > 0 {
		s.clock.Advance(d)
	}
}

package poison

import (
	"container/heap"
	"time"
)

// event is a function that runs at a point in simulated time.
type event struct {
	at       time.Time
	sequence int
	run      func()
}

// eventQueue is a queue of events ordered by time. Events at the same time keep
// the order in which they were added.
type eventQueue struct {
	events       []event
	lastSequence int
}

func (s *eventQueue) Len() int { return len(s.events) }

func (s *eventQueue) Less(i, j int) bool {
	a, b := s.events[i], s.events[j]
	if !a.at.Equal(b.at) {
		return a.at.Before(b.at)
	}
	return a.sequence < b.sequence
}

func (s *eventQueue) Swap(i, j int) { s.events[i], s.events[j] = s.events[j], s.events[i] }

// Push implements heap.Interface.
func (s *eventQueue) Push(x any) { s.events = append(s.events, x.(event)) }

// Pop implements heap.Interface.
func (s *eventQueue) Pop() any {
	last := s.events[len(s.events)-1]
	s.events = s.events[:len(s.events)-1]
	return last
}

func (s *eventQueue) add(at time.Time, run func()) {
	s.lastSequence++
	heap.Push(s, event{at, s.lastSequence, run})
}

func (s *eventQueue) next() event { return heap.Pop(s).(event) }

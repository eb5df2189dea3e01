package poison

import (
	"container/heap"
	"time"
)

// scheduled is something that happens at a time.
type scheduled struct {
	at    time.Time
	order int
	do    func()
}

// schedule is a queue of events in order of time.
type schedule struct {
	events []scheduled
	orders int
}

func (s *schedule) Len() int { return len(s.events) }

func (s *schedule) Less(i, j int) bool {
	a, b := s.events[i], s.events[j]
	if !a.at.Equal(b.at) {
		return a.at.Before(b.at)
	}
	return a.order < b.order
}

func (s *schedule) Swap(i, j int) { s.events[i], s.events[j] = s.events[j], s.events[i] }

// Push is for container/heap.
func (s *schedule) Push(x any) { s.events = append(s.events, x.(scheduled)) }

// Pop is for container/heap.
func (s *schedule) Pop() any {
	last := s.events[len(s.events)-1]
	s.events = s.events[:len(s.events)-1]
	return last
}

func (s *schedule) add(at time.Time, do func()) {
	s.orders++
	heap.Push(s, scheduled{at, s.orders, do})
}

func (s *schedule) next() scheduled { return heap.Pop(s).(scheduled) }

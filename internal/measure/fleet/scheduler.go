package fleet

import (
	"container/heap"
	"time"
)

// scheduler runs functions in simulated time. Functions scheduled for the same
// time run in the order in which they were added.
type scheduler struct {
	now    time.Time
	queue  eventHeap
	serial uint64
}

type event struct {
	at     time.Time
	serial uint64
	run    func()
}

func (s *scheduler) after(d time.Duration, run func()) {
	s.serial++
	heap.Push(&s.queue, event{s.now.Add(d), s.serial, run})
}

// runUntil runs all events up to and including end and sets the time to end.
func (s *scheduler) runUntil(end time.Time) {
	for len(s.queue) > 0 && !s.queue[0].at.After(end) {
		e := heap.Pop(&s.queue).(event)
		s.now = e.at
		e.run()
	}
	s.now = end
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }

func (h eventHeap) Less(i, j int) bool {
	if h[i].at.Equal(h[j].at) {
		return h[i].serial < h[j].serial
	}
	return h[i].at.Before(h[j].at)
}

func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *eventHeap) Push(x any) { *h = append(*h, x.(event)) }

// Pop implements heap.Interface.
func (h *eventHeap) Pop() any {
	old := *h
	e := old[len(old)-1]
	*h = old[:len(old)-1]
	return e
}

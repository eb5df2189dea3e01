package admit

import "time"

// item is a queued request. It is in the list of its class and, if StartBy is
// set, in the heap.
type item struct {
	Request
	class     *classQueue
	arrivedAt time.Time
	done      bool // dequeued, cancelled or expired, but maybe still in the class list
	heapIndex int  // index in the heap, or -1
}

// startHeap orders items by StartBy, for container/heap.
type startHeap []*item

func (h startHeap) Len() int           { return len(h) }
func (h startHeap) Less(i, j int) bool { return h[i].StartBy.Before(h[j].StartBy) }

func (h startHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].heapIndex, h[j].heapIndex = i, j
}

// Push appends x, for container/heap.
func (h *startHeap) Push(x any) {
	it := x.(*item)
	it.heapIndex = len(*h)
	*h = append(*h, it)
}

// Pop removes the last item, for container/heap.
func (h *startHeap) Pop() any {
	old := *h
	it := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	it.heapIndex = -1
	return it
}

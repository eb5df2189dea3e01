package admit

import "time"

// item is one waiting request. It is in its class's list and, when it has a
// StartBy, in the heap.
type item struct {
	Request
	class   *classQueue
	arrived time.Time
	done    bool // taken, cancelled or shed; still in the list until it is first
	heap    int  // position in the heap, -1 when not in it
}

// startHeap orders items by StartBy, for container/heap.
type startHeap []*item

func (h startHeap) Len() int           { return len(h) }
func (h startHeap) Less(i, j int) bool { return h[i].StartBy.Before(h[j].StartBy) }

func (h startHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].heap, h[j].heap = i, j
}

// Push appends x, for container/heap.
func (h *startHeap) Push(x any) {
	it := x.(*item)
	it.heap = len(*h)
	*h = append(*h, it)
}

// Pop removes the last item, for container/heap.
func (h *startHeap) Pop() any {
	old := *h
	it := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	it.heap = -1
	return it
}

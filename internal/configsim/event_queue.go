package configsim

// event is a callback at a point in simulated time, in nanoseconds since the Unix
// epoch. The sequence number breaks ties, so that runs are deterministic.
type event struct {
	at       int64
	sequence uint64
	run      func()
}

func (e *event) before(other *event) bool {
	return e.at < other.at || e.at == other.at && e.sequence < other.sequence
}

// eventQueue is a binary min-heap ordered by time. It holds pointers because
// copying structs is slow under the race detector.
type eventQueue []*event

func (e *eventQueue) push(next *event) {
	*e = append(*e, next)
	h := *e
	i := len(h) - 1
	for i > 0 {
		parent := (i - 1) / 2
		if !next.before(h[parent]) {
			break
		}
		h[i] = h[parent]
		i = parent
	}
	h[i] = next
}

func (e *eventQueue) pop() *event {
	h := *e
	first, last := h[0], h[len(h)-1]
	h[len(h)-1] = nil
	h = h[:len(h)-1]
	*e = h
	if len(h) == 0 {
		return first
	}
	i := 0
	for {
		child := 2*i + 1
		if child >= len(h) {
			break
		}
		if child+1 < len(h) && h[child+1].before(h[child]) {
			child++
		}
		if !h[child].before(last) {
			break
		}
		h[i] = h[child]
		i = child
	}
	h[i] = last
	return first
}

package gate

import (
	"time"

	"github.com/auburnbend/auburnbend/lib/model"
	"github.com/auburnbend/auburnbend/lib/outcome"
)

// seen is what the gate remembers of an attempt id.
type seen struct {
	at      time.Time
	refused bool
	reason  outcome.Reason
}

// window remembers attempt ids for a time, in bounded memory. Ids leave it in
// the order in which they came.
type window struct {
	keep  time.Duration
	limit int
	ids   map[model.AttemptID]seen
	queue []model.AttemptID
	head  int
}

func newWindow(keep time.Duration, limit int) *window {
	return &window{keep: keep, limit: limit, ids: make(map[model.AttemptID]seen)}
}

// expire forgets the ids that are older than the window.
func (w *window) expire(now time.Time) {
	for w.head < len(w.queue) {
		id := w.queue[w.head]
		if now.Sub(w.ids[id].at) <= w.keep {
			break
		}
		delete(w.ids, id)
		w.queue[w.head] = ""
		w.head++
	}
	if w.head > len(w.queue)/2 {
		w.queue = append(w.queue[:0], w.queue[w.head:]...)
		w.head = 0
	}
}

func (w *window) get(id model.AttemptID) (seen, bool) {
	s, ok := w.ids[id]
	return s, ok
}

// full reports whether only refusals are taken in: the last eighth is theirs.
func (w *window) full() bool { return len(w.ids) >= w.limit-w.limit/8 }

// add remembers an id, or returns false when there is no room at all.
func (w *window) add(now time.Time, id model.AttemptID, refused bool, reason outcome.Reason) bool {
	if len(w.ids) >= w.limit {
		return false
	}
	w.ids[id] = seen{at: now, refused: refused, reason: reason}
	w.queue = append(w.queue, id)
	return true
}

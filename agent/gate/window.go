package gate

import (
	"time"

	"github.com/auburnbend/auburnbend/lib/model"
	"github.com/auburnbend/auburnbend/lib/outcome"
)

// seenID is the information that is kept for an attempt ID.
type seenID struct {
	at      time.Time
	refused bool
	reason  outcome.Reason
}

// window remembers attempt IDs for a limited time, in bounded memory. IDs expire in
// the order in which they were added.
type window struct {
	retention time.Duration
	limit     int
	ids       map[model.AttemptID]seenID
	queue     []model.AttemptID
	head      int // index in queue of the oldest ID
}

func newWindow(retention time.Duration, limit int) *window {
	return &window{retention: retention, limit: limit, ids: make(map[model.AttemptID]seenID)}
}

// expire removes the IDs that are older than the retention.
func (w *window) expire(now time.Time) {
	for w.head < len(w.queue) {
		id := w.queue[w.head]
		if now.Sub(w.ids[id].at) <= w.retention {
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

func (w *window) get(id model.AttemptID) (seenID, bool) {
	s, ok := w.ids[id]
	return s, ok
}

// nearlyFull reports whether only refused IDs may be added. The last eighth of the
// window is reserved for them.
func (w *window) nearlyFull() bool { return len(w.ids) >= w.limit-w.limit/8 }

// add adds an ID. It returns false if the window is completely full.
func (w *window) add(now time.Time, id model.AttemptID, refused bool, reason outcome.Reason) bool {
	if len(w.ids) >= w.limit {
		return false
	}
	w.ids[id] = seenID{at: now, refused: refused, reason: reason}
	w.queue = append(w.queue, id)
	return true
}

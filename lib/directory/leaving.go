package directory

import "time"

const (
	// leavingMemory is how long a start that leaves is remembered: its row may be read
	// late, and a start that has said so never takes it back.
	leavingMemory = 10 * time.Minute
	// maxLeaving bounds the remembered starts, at about 100 bytes each.
	maxLeaving = 4096
)

// Evidence tells where a belief comes from and since when it is held.
type Evidence struct {
	Source string
	At     time.Time
}

// Sources of the belief that a server leaves.
const (
	SourceRow      = "row"
	SourceResponse = "answer"
	SourcePeer     = "peer"
)

// MarkDraining takes note that a start of a server leaves. It gets no further requests,
// whatever a row says that was written or read earlier. It reports whether that is
// news.
func (d *Directory) MarkDraining(k Key, source string, now time.Time) bool {
	if _, known := d.leaving[k]; known {
		return false
	}
	if len(d.leaving) >= maxLeaving {
		d.forgetLeaving(now)
	}
	d.leaving[k] = Evidence{Source: source, At: now}
	s := d.Get(k)
	if s == nil || s.Draining {
		return true
	}
	if _, lapsed := d.lapsed[k.ID]; lapsed {
		d.drop(k.ID)
		return true
	}
	d.Put(s)
	return true
}

// DrainEvidence returns why a start is believed to leave.
func (d *Directory) DrainEvidence(k Key) (Evidence, bool) {
	e, known := d.leaving[k]
	return e, known
}

// DrainingSince returns the starts that are believed to leave since a moment or
// later, at most limit.
func (d *Directory) DrainingSince(moment time.Time, limit int) []Key {
	var keys []Key
	for k, e := range d.leaving {
		if !e.At.Before(moment) && len(keys) < limit {
			keys = append(keys, k)
		}
	}
	return keys
}

// forgetLeaving drops what is too old, or else the oldest.
func (d *Directory) forgetLeaving(now time.Time) {
	var oldest Key
	var oldestAt time.Time
	for k, e := range d.leaving {
		if now.Sub(e.At) > leavingMemory {
			delete(d.leaving, k)
			continue
		}
		if oldestAt.IsZero() || e.At.Before(oldestAt) {
			oldest, oldestAt = k, e.At
		}
	}
	if len(d.leaving) >= maxLeaving {
		delete(d.leaving, oldest)
	}
}

package directory

import "time"

const (
	// drainingRetention is how long a draining incarnation is remembered: its row may
	// be read late, and a drain is never revoked.
	drainingRetention = 10 * time.Minute
	// maxDraining bounds the incarnations that are remembered, at about 100 bytes each.
	maxDraining = 4096
)

// Evidence states how and when this instance learned that a server is draining.
type Evidence struct {
	Source string
	At     time.Time
}

// Sources of Evidence, as logs name them.
const (
	SourceRow      = "row"
	SourceResponse = "answer"
	SourcePeer     = "peer"
	SourceAgent    = "agent"
)

// MarkDraining records that an incarnation of a server is draining. It gets no
// further requests, regardless of what its row says. It reports whether this was
// new.
func (d *Directory) MarkDraining(k Key, source string, now time.Time) bool {
	if _, known := d.draining[k]; known {
		return false
	}
	d.remember(k, source, now)
	s := d.Get(k)
	if s == nil || s.Draining {
		return true
	}
	if _, expiring := d.expiring[k.ID]; expiring {
		d.drop(k.ID, now)
		return true
	}
	d.Put(s)
	return true
}

// remember records the evidence that an incarnation is draining.
func (d *Directory) remember(k Key, source string, now time.Time) {
	if len(d.draining) >= maxDraining {
		d.evictDraining(now)
	}
	d.draining[k] = Evidence{Source: source, At: now}
}

// list adds or updates a server as its row states. The drain of an incarnation is
// remembered, so that no later row revokes it. Without a start, a later row may be that of
// another incarnation, unless it is the same row.
func (d *Directory) list(s *Server, now time.Time) {
	k := s.Key()
	if old := d.servers[s.ID]; old != nil && old.Key() != k {
		d.rememberEnded(old, now)
	} else if old != nil && old.Draining && old.sameRow(s) && s.Revision > 0 {
		draining := *s
		draining.Draining = true
		s = &draining
	}
	delete(d.ended, k)
	if _, known := d.draining[k]; s.Draining && !known && s.StartUnixMilli != 0 {
		d.remember(k, SourceRow, now)
		d.drainedByRow = append(d.drainedByRow, k)
	}
	d.firstStarts.add(s, now)
	d.Put(s)
}

// TakeDrainedByRow returns the incarnations whose rows have shown since the last call that
// they are draining, unless that was known before.
func (d *Directory) TakeDrainedByRow() []Key {
	keys := d.drainedByRow
	d.drainedByRow = nil
	return keys
}

// DrainEvidence returns how an incarnation became known to be draining. It returns
// false if it is not known to be.
func (d *Directory) DrainEvidence(k Key) (Evidence, bool) {
	e, known := d.draining[k]
	return e, known
}

// DrainingToShare returns at most limit incarnations that others should learn are
// draining: those that became known to be at the given time or later, and those that
// are still listed, as an instance that has just started may read their rows from
// before. If there are more, those that rows do not show are preferred, and the choice is
// random otherwise.
func (d *Directory) DrainingToShare(since time.Time, limit int) []Key {
	var keys, shown []Key
	for k, e := range d.draining {
		switch listed := d.Get(k) != nil; {
		case e.At.Before(since) && !listed:
		case e.Source == SourceRow:
			shown = append(shown, k)
		case len(keys) < limit:
			keys = append(keys, k)
		}
	}
	return append(keys, shown[:min(len(shown), limit-len(keys))]...)
}

// evictDraining drops the incarnations that have been remembered for
// drainingRetention. If that frees no space, it drops the oldest one.
func (d *Directory) evictDraining(now time.Time) {
	var oldest Key
	var oldestAt time.Time
	for k, e := range d.draining {
		if now.Sub(e.At) > drainingRetention {
			delete(d.draining, k)
			continue
		}
		if oldestAt.IsZero() || e.At.Before(oldestAt) {
			oldest, oldestAt = k, e.At
		}
	}
	if len(d.draining) >= maxDraining {
		delete(d.draining, oldest)
	}
}

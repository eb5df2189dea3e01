package member

import (
	"cmp"
	"slices"
	"time"
)

// Tick judges connections and members by time. It is called a few times each
// second.
func (v *View) Tick(now time.Time) []Event {
	var events []Event
	events = append(events, v.silence(now, func(c *connection) bool { return !now.Before(c.deadline()) })...)
	if len(events) > 0 {
		// A retry over one more silent connection would cost another detection
		// time, so connections that failed a probe go with the first silent one.
		events = append(events, v.silence(now, func(c *connection) bool { return c.failsProbe(now) })...)
	}
	events = append(events, v.probe(now)...)
	if v.fault.suspected(now, v.cfg, len(v.conns)) {
		// In a path fault the other connections are not trusted for their full
		// time: a retry over one more silent connection would cost another
		// detection time.
		events = append(events, v.silence(now, func(c *connection) bool { return c.overdue(now) })...)
	}
	for _, id := range v.sortedMembers() {
		e := v.members[id]
		if e.State == StateProbing && now.Sub(e.probeSince) >= v.cfg.ProbeTimeout && v.reaches(now) {
			events = append(events, v.leave(now, e)...)
		}
	}
	v.retired.prune(now)
	return events
}

// reaches reports whether at least one connection works. Without one, this
// process may be the one that is cut off, so nobody is judged.
func (v *View) reaches(now time.Time) bool {
	for _, c := range v.conns {
		if !c.silent && !c.overdue(now) {
			return true
		}
	}
	return false
}

// silence marks the connections that match as silent.
func (v *View) silence(now time.Time, match func(*connection) bool) []Event {
	var ids []ConnID
	for id, c := range v.conns {
		if !c.silent && match(c) {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	var events []Event
	for _, id := range ids {
		c := v.conns[id]
		c.silent = true
		v.fault.silent(now)
		lost := Event{Kind: Silent, Instance: c.instance, Generation: c.generation, Conn: id}
		events = append(events, v.connectionLost(now, c, lost)...)
	}
	return events
}

// probe asks for a sign of life on all connections once a busy one has missed a
// heartbeat: if they are silent too, that is known when the busy one is judged.
func (v *View) probe(now time.Time) []Event {
	suspicious := false
	for _, c := range v.conns {
		if !c.silent && !c.busySince.IsZero() && c.overdue(now) {
			suspicious = true
		}
	}
	if !suspicious {
		return nil
	}
	var events []Event
	for id, c := range v.conns {
		if !c.silent && c.busySince.IsZero() && c.probedAt.IsZero() && now.Sub(c.heard) > BusyInterval {
			c.probedAt = now
			events = append(events, Event{Kind: Probe, Instance: c.instance, Generation: c.generation, Conn: id})
		}
	}
	slices.SortFunc(events, func(a, b Event) int { return cmp.Compare(a.Conn, b.Conn) })
	return events
}

package member

import (
	"slices"
	"time"
)

// Tick judges connections and members by time. It is called a few times each
// second.
func (v *View) Tick(now time.Time) []Event {
	var events []Event
	events = append(events, v.silence(now, func(c *connection) bool { return !now.Before(c.deadline()) })...)
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

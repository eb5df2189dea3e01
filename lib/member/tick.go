package member

import (
	"cmp"
	"slices"
	"time"
)

// Tick detects silent connections and unreachable members. It has to be called a
// few times per second.
func (v *View) Tick(now time.Time) []Event {
	var events []Event
	events = append(events, v.markSilent(now, func(c *connection) bool { return !now.Before(c.deadline()) })...)
	if len(events) > 0 {
		// A retry over another silent connection would cost a further detection
		// time. Connections with an overdue probe are therefore marked silent
		// together with the first silent one.
		events = append(events, v.markSilent(now, func(c *connection) bool { return c.probeOverdue(now) })...)
	}
	events = append(events, v.probeIdle(now)...)
	if v.pathFault.suspected(now, v.cfg, len(v.conns)) {
		// In a path fault, connections are marked silent as soon as a heartbeat is
		// overdue, because a retry over another silent connection would cost a
		// further detection time.
		events = append(events, v.markSilent(now, func(c *connection) bool { return c.overdue(now) })...)
	}
	for _, id := range v.sortedMembers() {
		m := v.members[id]
		if m.State == StateReconnecting && now.Sub(m.disconnectedSince) >= v.cfg.ReconnectTimeout && v.hasWorkingConn(now) {
			events = append(events, v.markGone(now, m)...)
		}
	}
	v.replaced.prune(now)
	return events
}

// hasWorkingConn reports whether at least one connection works. If none does, this
// process may be the one that is cut off, and no member is considered gone.
func (v *View) hasWorkingConn(now time.Time) bool {
	for _, c := range v.conns {
		if !c.silent && !c.overdue(now) {
			return true
		}
	}
	return false
}

// markSilent marks the matching connections as silent.
func (v *View) markSilent(now time.Time, match func(*connection) bool) []Event {
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
		v.pathFault.addSilent(now)
		lost := Event{Kind: Silent, Instance: c.instance, Generation: c.generation, Conn: id}
		events = append(events, v.connectionLost(now, c, lost)...)
	}
	return events
}

// probeIdle requests probes on the idle connections if a heartbeat is overdue on a
// busy one. An idle connection that is broken too is then detected by the time the
// busy connection counts as silent.
func (v *View) probeIdle(now time.Time) []Event {
	busyOverdue := false
	for _, c := range v.conns {
		if !c.silent && !c.busySince.IsZero() && c.overdue(now) {
			busyOverdue = true
		}
	}
	if !busyOverdue {
		return nil
	}
	var events []Event
	for id, c := range v.conns {
		if !c.silent && c.busySince.IsZero() && c.probedAt.IsZero() && now.Sub(c.lastFrameAt) > BusyInterval {
			c.probedAt = now
			events = append(events, Event{Kind: Probe, Instance: c.instance, Generation: c.generation, Conn: id})
		}
	}
	slices.SortFunc(events, func(a, b Event) int { return cmp.Compare(a.Conn, b.Conn) })
	return events
}

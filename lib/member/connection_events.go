package member

import (
	"time"

	"github.com/auburnbend/auburnbend/lib/model"
	"github.com/auburnbend/auburnbend/lib/wire"
)

// Heartbeat processes a heartbeat that arrived on a connection. Heartbeats may also
// arrive between the regular ones, to notify of draining. Heartbeats on a
// connection that the view has dropped, such as one of a replaced generation, are
// ignored.
func (v *View) Heartbeat(now time.Time, conn ConnID, hb wire.Heartbeat) []Event {
	events, c, m := v.frameReceived(now, conn)
	if c == nil {
		return nil
	}
	if hb.Sequence < c.lastSeq {
		return events
	}
	c.lastSeq = hb.Sequence
	m.Heartbeat = hb
	m.HeartbeatAt = now
	if hb.Draining && !m.Draining {
		m.Draining = true
		events = append(events, Event{Kind: Draining, Instance: c.instance, Generation: c.generation})
	}
	return events
}

// FrameReceived records that a frame other than a heartbeat arrived on a
// connection.
func (v *View) FrameReceived(now time.Time, conn ConnID) []Event {
	events, _, _ := v.frameReceived(now, conn)
	return events
}

// frameReceived records that a frame arrived on a connection and restores the
// connection if it was silent. It returns nil for an unknown connection.
func (v *View) frameReceived(now time.Time, conn ConnID) ([]Event, *connection, *memberState) {
	c, ok := v.conns[conn]
	if !ok {
		return nil, nil, nil
	}
	m := v.members[c.instance]
	c.lastFrameAt = now
	c.probedAt = time.Time{}
	if !c.silent {
		return nil, c, m
	}
	// The connection still works: it was considered silent too early.
	c.silent = false
	m.conns++
	if m.State != StateReconnecting {
		return nil, c, m
	}
	m.State = StateLive
	m.dialFailures = 0
	return []Event{{Kind: Restored, Instance: c.instance, Generation: c.generation}}, c, m
}

// SetInFlight sets the number of requests that wait for frames on a connection. The
// heartbeat interval of the peer depends on it.
func (v *View) SetInFlight(now time.Time, conn ConnID, requests int) {
	c, ok := v.conns[conn]
	if !ok {
		return
	}
	switch {
	case requests == 0:
		c.busySince = time.Time{}
	case c.busySince.IsZero():
		c.busySince = now
	}
}

// Closed processes the end of a connection.
func (v *View) Closed(now time.Time, conn ConnID) []Event {
	c, ok := v.conns[conn]
	if !ok {
		return nil
	}
	delete(v.conns, conn)
	if c.silent {
		return nil
	}
	return v.connectionLost(now, c, Event{Kind: Disconnected, Instance: c.instance, Generation: c.generation})
}

// connectionLost processes a connection that was closed or went silent. A draining
// member whose last connection closes has finished and is gone.
func (v *View) connectionLost(now time.Time, c *connection, event Event) []Event {
	m := v.members[c.instance]
	m.conns--
	if m.conns > 0 {
		if event.Kind == Silent {
			return []Event{event}
		}
		return nil
	}
	if m.Draining && event.Kind == Disconnected {
		return v.markGone(now, m)
	}
	m.State = StateReconnecting
	m.HeartbeatAt = time.Time{}
	m.disconnectedSince = now
	m.dialFailures = 0
	return []Event{event}
}

// DialFailed processes a failed attempt to connect to a member. After
// Config.MaxProbeFailures of them the member is considered gone, unless no
// connection of this process works, in which case this process may be the one that
// is cut off.
func (v *View) DialFailed(now time.Time, id model.InstanceID) []Event {
	m, ok := v.members[id]
	if !ok || m.State != StateReconnecting {
		return nil
	}
	m.dialFailures++
	if m.dialFailures < v.cfg.MaxDialFailures || !v.hasWorkingConn(now) {
		return nil
	}
	return v.markGone(now, m)
}

// markGone marks a member as gone and drops its connections. Silent ones may still
// be open.
func (v *View) markGone(now time.Time, m *memberState) []Event {
	id, generation := m.Identity.Instance, m.Identity.Generation
	for conn, c := range v.conns {
		if c.instance == id {
			delete(v.conns, conn)
		}
	}
	m.conns = 0
	m.State, m.goneAt = StateGone, now
	return []Event{{Kind: Left, Instance: id, Generation: generation}}
}

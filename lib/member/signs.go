package member

import (
	"time"

	"github.com/auburnbend/auburnbend/lib/model"
	"github.com/auburnbend/auburnbend/lib/wire"
)

// Heartbeat takes a heartbeat that arrived on a connection. A notification of
// leaving is a heartbeat that is sent out of turn. Heartbeats of a connection
// that the view has dropped, and so of an old generation, change nothing.
func (v *View) Heartbeat(now time.Time, conn ConnID, hb wire.Heartbeat) []Event {
	events, c, e := v.heard(now, conn)
	if c == nil {
		return nil
	}
	if hb.Sequence < c.lastSeq {
		return events
	}
	c.lastSeq = hb.Sequence
	e.Heartbeat = hb
	e.HeartbeatAt = now
	if hb.Draining && !e.Draining {
		e.Draining = true
		events = append(events, Event{Kind: Draining, Instance: c.instance, Generation: c.generation})
	}
	return events
}

// FrameReceived takes any other frame as a sign of life of a connection.
func (v *View) FrameReceived(now time.Time, conn ConnID) []Event {
	events, _, _ := v.heard(now, conn)
	return events
}

func (v *View) heard(now time.Time, conn ConnID) ([]Event, *connection, *entry) {
	c, ok := v.conns[conn]
	if !ok {
		return nil, nil, nil
	}
	e := v.members[c.instance]
	c.heard = now
	c.probedAt = time.Time{}
	if !c.silent {
		return nil, c, e
	}
	// The connection was judged too early; it works.
	c.silent = false
	e.conns++
	if e.State != StateProbing {
		return nil, c, e
	}
	e.State = StateLive
	e.probeFailures = 0
	return []Event{{Kind: Restored, Instance: c.instance, Generation: c.generation}}, c, e
}

// SetInFlight tells the view how many requests wait for frames on a connection.
// The peer's heartbeat interval depends on it.
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

// Closed takes the end of a connection.
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

// connectionLost takes a connection out of use. A draining member that closes
// its last connection has finished and has left.
func (v *View) connectionLost(now time.Time, c *connection, event Event) []Event {
	e := v.members[c.instance]
	e.conns--
	if e.conns > 0 {
		if event.Kind == Silent {
			return []Event{event}
		}
		return nil
	}
	if e.Draining && event.Kind == Disconnected {
		return v.leave(now, e)
	}
	e.State = StateProbing
	e.HeartbeatAt = time.Time{}
	e.probeSince = now
	e.probeFailures = 0
	return []Event{event}
}

// DialFailed takes the failure of a new connection to a member. The member is
// judged gone after Config.ProbeFailures of them, unless no connection works at
// all: then it is this process that may be cut off.
func (v *View) DialFailed(now time.Time, id model.InstanceID) []Event {
	e, ok := v.members[id]
	if !ok || e.State != StateProbing {
		return nil
	}
	e.probeFailures++
	if e.probeFailures < v.cfg.MaxProbeFailures || !v.reaches(now) {
		return nil
	}
	return v.leave(now, e)
}

// leave judges a member gone. Its connections are forgotten: silent ones may
// still be open.
func (v *View) leave(now time.Time, e *entry) []Event {
	id, generation := e.Identity.Instance, e.Identity.Generation
	for conn, c := range v.conns {
		if c.instance == id {
			delete(v.conns, conn)
		}
	}
	e.conns = 0
	e.State, e.goneAt = StateGone, now
	return []Event{{Kind: Left, Instance: id, Generation: generation}}
}

package agent

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/auburnbend/auburnbend/lib/config"
	"github.com/auburnbend/auburnbend/lib/eventlog"
	"github.com/auburnbend/auburnbend/lib/heartbeat"
	"github.com/auburnbend/auburnbend/lib/member"
	"github.com/auburnbend/auburnbend/lib/wire"
)

// sessionTimeout is the time without a message after which the connection of an entry
// is closed. Entries send a heartbeat at least once per idle interval.
const sessionTimeout = member.MaxMissedHeartbeats * member.IdleInterval

// session is the connection of one entry.
type session struct {
	agent *Agent
	conn  *wire.Conn
	peer  wire.Hello
	// heartbeatNow triggers a heartbeat outside the regular interval.
	heartbeatNow chan struct{}
	// snapshotRequested is true while the entry waits for a snapshot of the cache.
	snapshotRequested atomic.Bool
}

// serve handles one connection of an entry or of another agent until it fails.
func (a *Agent) serve(ctx context.Context, conn *wire.Conn, peer wire.Hello) {
	if peer.Role == wire.RoleAgent {
		if a.transfer != nil {
			_ = a.transfer.ServePeer(conn)
		}
		return
	}
	s := &session{agent: a, conn: conn, peer: peer, heartbeatNow: make(chan struct{}, 1)}
	s.run()
}

// sendHeartbeat triggers a heartbeat and does not wait for it.
func (s *session) sendHeartbeat() {
	select {
	case s.heartbeatNow <- struct{}{}:
	default:
	}
}

func (s *session) run() {
	a := s.agent
	id := config.PeerID{Instance: s.peer.Identity.Instance, Generation: s.peer.Identity.Generation}
	s.conn.LimitBodies(a.gate.ReserveBody)
	a.gate.Connect(s.conn)
	a.follower.PeerConnected(id, true, s.conn.TrySend)
	a.sessions.add(s)
	defer func() {
		a.sessions.remove(s)
		s.dropRank()
		a.follower.PeerLost(id)
		a.gate.Disconnect(s.conn)
	}()
	sender := heartbeat.Sender{Conn: s.conn, Heartbeat: s.heartbeat, InFlight: a.gate.Running, SendNow: s.heartbeatNow}
	go sender.Run()
	for {
		if s.conn.SetReadDeadline(time.Now().Add(sessionTimeout)) != nil {
			return
		}
		m, err := s.conn.Receive()
		if err != nil {
			return
		}
		s.handle(id, m)
	}
}

func (s *session) handle(id config.PeerID, m wire.Message) {
	a := s.agent
	if a.gate.Handle(s.conn, m) {
		return
	}
	switch m := m.(type) {
	case *wire.Heartbeat:
		a.follower.HandleHeartbeat(id, m)
		if m.Probe {
			s.sendHeartbeat()
		}
	case *wire.ConfigFetch:
		a.follower.HandleFetch(id, m, s.conn.TrySend)
	case *wire.ConfigDelta:
		a.follower.HandleDelta(id, m)
	case *wire.EntryList:
		// Trackers are per failure domain. An entry of another domain lists the
		// entries of its own domain.
		if a.transfer != nil && s.peer.Identity.Location == a.cfg.Identity.Location {
			a.transfer.SetEntries(m.Addresses)
			now := a.cfg.Clock.Now()
			a.placement.update(now, func(r *ranks) { r.set(now, s, m.Rank) })
		}
	case *wire.CacheFetch:
		s.snapshotRequested.Store(true)
	default:
		a.cfg.Log.Log(eventlog.FrameInvalid, "entry", s.peer.Identity.Instance, "type", m.Type())
	}
}

// dropRank removes the rank that the entry has sent.
func (s *session) dropRank() {
	if p := s.agent.placement; p != nil {
		now := s.agent.cfg.Clock.Now()
		p.update(now, func(r *ranks) { r.remove(now, s) })
	}
}

// heartbeat returns a heartbeat with all fields but the sequence number.
func (s *session) heartbeat() wire.Heartbeat {
	h := s.agent.heartbeat()
	s.agent.follower.SetConfigFields(&h)
	return h
}

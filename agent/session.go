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

// silence is the time without a message after which an entry's connection is
// closed: entries send a heartbeat at least every idle interval.
const silence = member.MaxMissedHeartbeats * member.IdleInterval

// session is the connection of one entry.
type session struct {
	agent *Agent
	conn  *wire.Conn
	peer  wire.Hello
	beats chan struct{}
	// wantsCache is set while the entry waits for a snapshot of the cache.
	wantsCache atomic.Bool
}

// serve handles one connection until it fails.
func (a *Agent) serve(ctx context.Context, conn *wire.Conn, peer wire.Hello) {
	if peer.Role == wire.RoleAgent {
		if a.transfer != nil {
			_ = a.transfer.ServePeer(conn)
		}
		return
	}
	s := &session{agent: a, conn: conn, peer: peer, beats: make(chan struct{}, 1)}
	s.run()
}

func (s *session) wake() {
	select {
	case s.beats <- struct{}{}:
	default:
	}
}

func (s *session) run() {
	a := s.agent
	id := config.PeerID{Instance: s.peer.Identity.Instance, Generation: s.peer.Identity.Generation}
	a.gate.Connect(s.conn)
	a.follower.PeerConnected(id, true, s.conn.TrySend)
	a.sessions.add(s)
	defer func() {
		a.sessions.remove(s)
		a.follower.PeerLost(id)
		a.gate.Disconnect(s.conn)
	}()
	beats := heartbeat.Sender{Conn: s.conn, Heartbeat: s.beat, InFlight: a.gate.Running, SendNow: s.beats}
	go beats.Run()
	for {
		if s.conn.SetReadDeadline(time.Now().Add(silence)) != nil {
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
			s.wake()
		}
	case *wire.ConfigFetch:
		a.follower.HandleFetch(id, m, s.conn.TrySend)
	case *wire.ConfigDelta:
		a.follower.HandleDelta(id, m)
	case *wire.EntryList:
		// Trackers are per failure domain; an entry of another one names its own.
		if a.transfer != nil && s.peer.Identity.Location == a.cfg.Identity.Location {
			a.transfer.SetEntries(m.Addresses)
			host{a}.ranked(m.Rank)
		}
	case *wire.CacheFetch:
		s.wantsCache.Store(true)
	default:
		a.cfg.Log.Log(eventlog.FrameInvalid, "entry", s.peer.Identity.Instance, "type", m.Type())
	}
}

// beat returns a whole heartbeat.
func (s *session) beat() wire.Heartbeat {
	beat := s.agent.beat()
	s.agent.follower.SetConfigFields(&beat)
	return beat
}

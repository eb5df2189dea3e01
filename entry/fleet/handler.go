package fleet

import (
	"slices"
	"time"

	"github.com/auburnbend/auburnbend/entry/link"
	"github.com/auburnbend/auburnbend/lib/config"
	"github.com/auburnbend/auburnbend/lib/eventlog"
	"github.com/auburnbend/auburnbend/lib/member"
	"github.com/auburnbend/auburnbend/lib/model"
	"github.com/auburnbend/auburnbend/lib/route"
	"github.com/auburnbend/auburnbend/lib/wire"
)

// linkHandler passes what a link reports on to the fleet.
type linkHandler struct{ fleet *Fleet }

var _ link.Handler = linkHandler{}

func (h linkHandler) Connected(id member.ConnID, peer wire.Hello) error {
	f := h.fleet
	f.mu.Lock()
	l := f.linkOf(peer.Identity.Instance)
	f.mu.Unlock()
	if l == nil {
		return link.ErrNotSent
	}
	return f.connected(&connection{id: id, hello: peer, send: l.Send, drop: l.Drop, link: l})
}

func (h linkHandler) Disconnected(id member.ConnID, _ wire.Hello) { h.fleet.disconnected(id) }

func (h linkHandler) ConnectFailed(instance model.InstanceID, _ error) {
	f := h.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	f.apply(f.view.DialFailed(f.cfg.Clock.Now(), instance))
}

func (h linkHandler) FrameReceived(id member.ConnID) {
	f := h.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	f.apply(f.view.FrameReceived(f.cfg.Clock.Now(), id))
}

func (h linkHandler) Message(id member.ConnID, peer wire.Hello, m wire.Message, reply func(wire.Message) error) {
	h.fleet.message(id, peer, m, reply)
}

func (f *Fleet) connected(c *connection) error {
	f.mu.Lock()
	events, err := f.view.Connected(f.cfg.Clock.Now(), c.id, c.hello)
	if err != nil {
		f.mu.Unlock()
		return err
	}
	f.conns[c.id] = c
	f.apply(events)
	if c.hello.Role == wire.RoleAgent {
		f.addAgent(c.hello)
		f.sendEntries()
	} else if news := f.monitor.Snapshot(f.cfg.Clock.Now()); news != nil {
		_ = c.send(news)
	}
	f.mu.Unlock()
	f.cfg.Follower.PeerConnected(peerID(c.hello), c.hello.Role == wire.RoleAgent, c.send)
	return nil
}

// addAgent makes an agent known to the picker. What it serves comes with its
// first heartbeat. The caller holds the mutex.
func (f *Fleet) addAgent(hello wire.Hello) {
	known := f.agents[hello.Identity.Instance]
	if known.Generation == hello.Identity.Generation {
		return
	}
	instance := route.Instance{
		ID:         hello.Identity.Instance,
		Generation: hello.Identity.Generation,
		Location:   hello.Identity.Location,
		Pool:       hello.Pool,
	}
	f.agents[instance.ID] = instance
	f.picker.Update(f.cfg.Clock.Now(), instance)
	f.wantCache(instance.Key())
	f.cfg.Log.Log(eventlog.AgentJoined, "instance", instance.ID, "pool", instance.Pool)
}

func (f *Fleet) disconnected(id member.ConnID) {
	f.mu.Lock()
	c := f.conns[id]
	delete(f.conns, id)
	f.apply(f.view.Closed(f.cfg.Clock.Now(), id))
	f.mu.Unlock()
	if c != nil {
		f.cfg.Follower.PeerLost(peerID(c.hello))
	}
}

// mayReport says whether a message is one that the peer's role sends. The role is
// that of its certificate: an agent must not be able to quarantine requests, nor
// an entry to report crashes of a backend server.
func mayReport(role wire.Role, m wire.Message) bool {
	switch m.(type) {
	case *wire.CrashReport, *wire.CacheUpdate:
		return role == wire.RoleAgent
	case *wire.Heartbeat, *wire.ConfigFetch, *wire.ConfigDelta:
		return true
	default:
		return role == wire.RoleEntry
	}
}

func (f *Fleet) message(id member.ConnID, peer wire.Hello, m wire.Message, reply func(wire.Message) error) {
	if !mayReport(peer.Role, m) {
		f.cfg.Log.Log(eventlog.FrameInvalid, "instance", peer.Identity.Instance, "type", m.Type())
		return
	}
	switch m := m.(type) {
	case *wire.Heartbeat:
		f.heartbeatFrom(id, peer, m)
	case *wire.ConfigFetch:
		f.cfg.Follower.HandleFetch(peerID(peer), m, reply)
	case *wire.ConfigDelta:
		f.cfg.Follower.HandleDelta(peerID(peer), m)
	case *wire.CrashReport:
		f.crashed(peer, m)
	case *wire.CacheUpdate:
		f.cacheFrom(peer, m)
	case *wire.SuspectUpdate:
		f.mu.Lock()
		f.broadcast(f.monitor.Merge(f.cfg.Clock.Now(), *m))
		f.mu.Unlock()
	default:
		f.cfg.HandleOther(peer, m, reply)
	}
}

func (f *Fleet) heartbeatFrom(id member.ConnID, peer wire.Hello, beat *wire.Heartbeat) {
	f.cfg.Follower.HandleHeartbeat(peerID(peer), beat)
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.cfg.Clock.Now()
	f.apply(f.view.Heartbeat(now, id, *beat))
	if peer.Role != wire.RoleAgent {
		return
	}
	instance, ok := f.agents[peer.Identity.Instance]
	if !ok || instance.Generation != peer.Identity.Generation {
		return
	}
	if !slices.Equal(instance.Live, beat.Live) {
		// The picker forgets the cache of an instance that has loaded weights.
		f.wantCache(instance.Key())
	}
	instance.Live = beat.Live
	instance.Role = routeRole(beat.Role)
	instance.Draining = beat.Draining
	f.agents[instance.ID] = instance
	f.picker.Update(now, instance)
	f.picker.RecordLoad(now, instance.Key(), route.LoadReport{
		Running:  beat.Load.Running,
		Queued:   beat.Load.Queued,
		Capacity: beat.Load.Capacity,
		Age:      time.Duration(beat.Load.AgeMillis) * time.Millisecond,
	})
	f.wake()
}

func (f *Fleet) crashed(peer wire.Hello, report *wire.CrashReport) {
	f.cfg.Log.Log(eventlog.BackendServerCrashed, "instance", peer.Identity.Instance, "in_flight", len(report.InFlight))
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.cfg.Clock.Now()
	f.broadcast(f.monitor.Crashed(now, peer.Identity.Instance, peer.Identity.Generation, *report))
	for _, finger := range report.InFlight {
		if f.monitor.Quarantined(now, finger) {
			f.cfg.Log.Log(eventlog.RequestQuarantined, "fingerprint", finger)
		}
	}
}

func peerID(hello wire.Hello) config.PeerID {
	return config.PeerID{Instance: hello.Identity.Instance, Generation: hello.Identity.Generation}
}

// routeRole returns the role that the picker filters by. A role that this entry
// does not know takes no requests.
func routeRole(r model.Role) route.Role {
	switch r {
	case model.RoleMixed:
		return route.RoleAny
	case model.RolePrefill:
		return route.RolePrefill
	default:
		return route.RoleDecode
	}
}

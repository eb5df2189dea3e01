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

// linkHandler forwards the reports of links to the Fleet.
type linkHandler struct{ fleet *Fleet }

var _ link.Handler = linkHandler{}

func (h linkHandler) Connected(id member.ConnID, hello wire.Hello) error {
	f := h.fleet
	f.mu.Lock()
	l := f.linkOf(hello.Identity.Instance)
	f.mu.Unlock()
	if l == nil {
		return link.ErrNotSent
	}
	return f.connected(&connection{id: id, hello: hello, send: l.Send, close: l.Drop, link: l})
}

func (h linkHandler) Disconnected(id member.ConnID, _ wire.Hello) { h.fleet.disconnected(id) }

func (h linkHandler) ConnectFailed(instance model.InstanceID, _ error) {
	f := h.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	f.applyEvents(f.view.DialFailed(f.cfg.Clock.Now(), instance))
}

func (h linkHandler) FrameReceived(id member.ConnID) {
	f := h.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	f.applyEvents(f.view.FrameReceived(f.cfg.Clock.Now(), id))
}

func (h linkHandler) Message(id member.ConnID, hello wire.Hello, m wire.Message, reply func(wire.Message) error) {
	h.fleet.handleMessage(id, hello, m, reply)
}

// connected adds a connection after the handshake, unless the view rejects it. It
// sends the state that the peer needs first.
func (f *Fleet) connected(c *connection) error {
	f.mu.Lock()
	events, err := f.view.Connected(f.cfg.Clock.Now(), c.id, c.hello)
	if err != nil {
		f.mu.Unlock()
		return err
	}
	f.conns[c.id] = c
	f.applyEvents(events)
	if c.hello.Role == wire.RoleAgent {
		f.addAgent(c.hello)
		f.sendEntryLists()
	} else if suspects := f.monitor.Snapshot(f.cfg.Clock.Now()); suspects != nil {
		_ = c.send(suspects)
	}
	f.mu.Unlock()
	f.cfg.Follower.PeerConnected(peerID(c.hello), c.hello.Role == wire.RoleAgent, c.send)
	return nil
}

// addAgent adds a new generation of an agent to the picker. Its live weights are
// known once its first heartbeat arrives. The caller must hold f.mu.
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
	started := time.Time{}
	if hello.StartUnixMilli > 0 {
		started = time.UnixMilli(hello.StartUnixMilli)
	}
	f.pacer.joined(instance.Key(), instance.Pool, started, f.cfg.Clock.Now())
	f.queueCacheFetch(instance.Key())
	f.cfg.Log.Log(eventlog.AgentJoined, "instance", instance.ID, "pool", instance.Pool)
}

// disconnected removes a connection that has ended.
func (f *Fleet) disconnected(id member.ConnID) {
	f.mu.Lock()
	c := f.conns[id]
	delete(f.conns, id)
	f.applyEvents(f.view.Closed(f.cfg.Clock.Now(), id))
	f.mu.Unlock()
	if c != nil {
		f.cfg.Follower.PeerLost(peerID(c.hello))
	}
}

// roleMaySend reports whether a peer with the given role is authorized to send a
// message. The role is that of the peer's certificate: an agent must not be able to
// quarantine requests, nor an entry to report crashes of a backend server.
func roleMaySend(role wire.Role, m wire.Message) bool {
	switch m.(type) {
	case *wire.CrashReport, *wire.CacheUpdate:
		return role == wire.RoleAgent
	case *wire.Heartbeat, *wire.ConfigFetch, *wire.ConfigDelta:
		return true
	default:
		return role == wire.RoleEntry
	}
}

// handleMessage processes a message that belongs to no attempt.
func (f *Fleet) handleMessage(id member.ConnID, hello wire.Hello, m wire.Message, reply func(wire.Message) error) {
	if !roleMaySend(hello.Role, m) {
		f.cfg.Log.Log(eventlog.FrameInvalid, "instance", hello.Identity.Instance, "type", m.Type())
		return
	}
	switch m := m.(type) {
	case *wire.Heartbeat:
		f.handleHeartbeat(id, hello, m)
	case *wire.ConfigFetch:
		f.cfg.Follower.HandleFetch(peerID(hello), m, reply)
	case *wire.ConfigDelta:
		f.cfg.Follower.HandleDelta(peerID(hello), m)
	case *wire.CrashReport:
		f.handleCrashReport(hello, m)
	case *wire.CacheUpdate:
		f.handleCacheUpdate(hello, m)
	case *wire.SuspectUpdate:
		f.mu.Lock()
		f.broadcast(f.monitor.Merge(f.cfg.Clock.Now(), *m))
		f.mu.Unlock()
	default:
		f.cfg.HandleOther(hello, m, reply)
	}
}

// handleHeartbeat updates the configuration state, the view and the picker from a
// heartbeat.
func (f *Fleet) handleHeartbeat(id member.ConnID, hello wire.Hello, beat *wire.Heartbeat) {
	f.cfg.Follower.HandleHeartbeat(peerID(hello), beat)
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.cfg.Clock.Now()
	f.applyEvents(f.view.Heartbeat(now, id, *beat))
	if hello.Role != wire.RoleAgent {
		return
	}
	instance, ok := f.agents[hello.Identity.Instance]
	if !ok || instance.Generation != hello.Identity.Generation {
		return
	}
	if !slices.Equal(instance.Live, beat.LiveWeights) {
		// The picker drops the cache state of an instance whose live weights
		// change.
		f.queueCacheFetch(instance.Key())
	}
	if len(instance.Live) == 0 && len(beat.LiveWeights) > 0 {
		f.pacer.opened(instance.Key(), now)
	}
	instance.Live = beat.LiveWeights
	instance.Role = routeRole(beat.Role)
	instance.Draining = beat.Draining
	f.agents[instance.ID] = instance
	f.picker.Update(now, instance)
	f.picker.RecordLoad(now, instance.Key(), route.LoadReport{
		Running:  beat.Load.Running,
		Queued:   beat.Load.Queued,
		Capacity: beat.Load.Capacity,
		Age:      time.Duration(beat.Load.AgeMillis) * time.Millisecond,

		MinInterval: time.Duration(beat.Load.MinIntervalMillis) * time.Millisecond,
	})
	f.signalCapacity()
}

// handleCrashReport records the crash of an agent's backend server and the requests
// that were in flight.
func (f *Fleet) handleCrashReport(hello wire.Hello, report *wire.CrashReport) {
	f.cfg.Log.Log(eventlog.BackendServerCrashed, "instance", hello.Identity.Instance, "in_flight", len(report.InFlight))
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.cfg.Clock.Now()
	f.broadcast(f.monitor.Crashed(now, hello.Identity.Instance, hello.Identity.Generation, *report))
	for _, fingerprint := range report.InFlight {
		if f.monitor.Quarantined(now, fingerprint) {
			f.cfg.Log.Log(eventlog.RequestQuarantined, "fingerprint", fingerprint)
		}
	}
}

// peerID returns the ID of a peer in the configuration replication.
func peerID(hello wire.Hello) config.PeerID {
	return config.PeerID{Instance: hello.Identity.Instance, Generation: hello.Identity.Generation}
}

// routeRole returns the role for the picker. Roles that this entry does not know are
// treated as the decode role, which gets no requests.
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

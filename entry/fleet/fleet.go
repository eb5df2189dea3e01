// Package fleet maintains what an entry knows about all other processes:
// the membership view, the connections, the load and health of backend servers,
// and the requests that are suspected of crashing them. Packages that decide on
// this state, such as lib/member and lib/route, are not safe for concurrent use;
// one mutex protects all of them.
package fleet

import (
	"context"
	"sync"
	"time"

	"github.com/auburnbend/auburnbend/entry/link"
	"github.com/auburnbend/auburnbend/lib/admit"
	"github.com/auburnbend/auburnbend/lib/backing"
	"github.com/auburnbend/auburnbend/lib/eventlog"
	"github.com/auburnbend/auburnbend/lib/member"
	"github.com/auburnbend/auburnbend/lib/model"
	"github.com/auburnbend/auburnbend/lib/poison"
	"github.com/auburnbend/auburnbend/lib/route"
	"github.com/auburnbend/auburnbend/lib/wire"
)

// Fleet is what an entry knows about all other processes. It is safe for
// concurrent use.
type Fleet struct {
	cfg Config
	// capacityChanged signals that an instance may accept more work.
	capacityChanged chan struct{}

	mu       sync.Mutex
	view     *member.View
	picker   *route.Picker
	monitor  *poison.Monitor
	limiters map[route.Key]*admit.Limiter
	pacer    *pacer
	agents   map[model.InstanceID]route.Instance
	peers    map[model.InstanceID]*peer
	conns    map[member.ConnID]*connection
	nextConn member.ConnID
	// attemptsSent is the number of attempts placed on each agent.
	attemptsSent map[model.InstanceID]int
	// required lists the members set by RequireConnections.
	required []model.InstanceID
	// cacheFetchQueue lists the agents whose cache snapshot is needed, in the order
	// of the requests.
	cacheFetchQueue []route.Key
	cacheFetchedAt  time.Time
	// entryListsCheckedAt is when sendEntryLists was last called by tick.
	entryListsCheckedAt time.Time
	runningLinks        sync.WaitGroup
}

// New returns a Fleet, which opens connections once Run is called.
func New(cfg Config) *Fleet {
	cfg = cfg.applyDefaults()
	f := &Fleet{
		cfg:             cfg,
		capacityChanged: make(chan struct{}, 1),
		view:            member.New(cfg.Member),
		picker:          route.New(cfg.Route, cfg.Rand),
		monitor:         poison.New(poison.Config{}, cfg.Identity.Instance, cfg.Identity.Generation),
		limiters:        make(map[route.Key]*admit.Limiter),
		agents:          make(map[model.InstanceID]route.Instance),
		peers:           make(map[model.InstanceID]*peer),
		conns:           make(map[member.ConnID]*connection),
		attemptsSent:    make(map[model.InstanceID]int),
	}
	f.pacer = newPacer(f.reportPace)
	return f
}

// CapacityChanged returns a channel that receives a value when an instance may
// accept more work than before.
func (f *Fleet) CapacityChanged() <-chan struct{} { return f.capacityChanged }

// signalCapacity signals CapacityChanged unless a signal is pending.
func (f *Fleet) signalCapacity() {
	select {
	case f.capacityChanged <- struct{}{}:
	default:
	}
}

// Run keeps the view and the connections up to date. It returns after ctx has ended
// and all connections that it opened are closed.
func (f *Fleet) Run(ctx context.Context) {
	tick := time.NewTicker(f.cfg.TickInterval)
	defer tick.Stop()
	var listReadAt time.Time
	for ctx.Err() == nil {
		if now := f.cfg.Clock.Now(); listReadAt.IsZero() || now.Sub(listReadAt) >= f.listInterval() {
			listReadAt = now
			f.readInstanceList(ctx)
			f.updateLinks(ctx)
		}
		select {
		case <-tick.C:
			f.tick()
		case <-ctx.Done():
		}
	}
	f.runningLinks.Wait()
}

// listInterval returns the time between two reads of the instance list. It is
// shorter while no agents are known, because agents that started together with the
// entry may not be listed yet.
func (f *Fleet) listInterval() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.agents) == 0 {
		return min(f.cfg.ListInterval, startListInterval)
	}
	return f.cfg.ListInterval
}

// readInstanceList updates the view from the platform's instance list.
func (f *Fleet) readInstanceList(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, f.cfg.ListInterval)
	defer cancel()
	instances, err := f.cfg.InstanceList.List(ctx)
	if err != nil {
		f.cfg.Log.Log(eventlog.InstanceListUnavailable, "err", err)
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.applyEvents(f.view.ApplyList(f.cfg.Clock.Now(), instances))
}

// tick performs the periodic work.
func (f *Fleet) tick() {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.cfg.Clock.Now()
	for id, c := range f.conns {
		if c.link != nil {
			f.view.SetInFlight(now, id, c.link.InFlight())
		}
	}
	f.applyEvents(f.view.Tick(now))
	f.broadcast(f.monitor.Tick(now))
	if now.Sub(f.entryListsCheckedAt) >= entryListCheckInterval {
		f.entryListsCheckedAt = now
		f.sendEntryLists()
	}
	f.sendCacheFetch(now)
	if f.pacer.refresh(now) {
		// The windows may have grown.
		f.signalCapacity()
	}
}

// applyEvents processes changes of the view. The caller must hold f.mu.
func (f *Fleet) applyEvents(events []member.Event) {
	now := f.cfg.Clock.Now()
	for _, e := range events {
		key := route.Key{Instance: e.Instance, Generation: e.Generation}
		switch e.Kind {
		case member.Left:
			f.removeGeneration(now, key)
			f.logLeft(e)
		case member.Draining:
			f.picker.Drain(key)
			f.cfg.Log.Log(eventlog.AgentDraining, "instance", e.Instance)
		case member.Silent:
			f.cfg.Log.Log(eventlog.ConnectionSilent, "instance", e.Instance)
			if c := f.conns[e.Conn]; c != nil {
				c.close()
			}
		case member.Probe:
			if c := f.conns[e.Conn]; c != nil {
				beat := f.heartbeat()
				beat.Probe = true
				_ = c.send(&beat)
			}
		case member.PathFault:
			f.cfg.Log.Log(eventlog.PathFault)
		case member.Joined, member.Restored:
			f.signalCapacity()
		case member.Listed, member.Disconnected:
			// The link of the member reconnects on its own.
		}
	}
}

// logLeft logs the loss of an entry or agent. The caller must hold f.mu.
func (f *Fleet) logLeft(e member.Event) {
	event := eventlog.AgentLost
	if p := f.peers[e.Instance]; p != nil && p.role == backing.RoleEntry {
		event = eventlog.EntryLost
	}
	f.cfg.Log.Log(event, "instance", e.Instance)
}

// removeGeneration deletes the state of one generation of an agent. The caller must
// hold f.mu.
func (f *Fleet) removeGeneration(now time.Time, key route.Key) {
	f.picker.Remove(now, key)
	delete(f.limiters, key)
	f.pacer.removed(key, now)
	if f.agents[key.Instance].Generation == key.Generation {
		delete(f.agents, key.Instance)
		delete(f.attemptsSent, key.Instance)
	}
}

// BaseHeartbeat returns a heartbeat of this entry without the configuration fields.
func (f *Fleet) BaseHeartbeat() wire.Heartbeat {
	return wire.Heartbeat{Draining: f.cfg.Draining()}
}

// heartbeat returns a complete heartbeat of this entry.
func (f *Fleet) heartbeat() wire.Heartbeat {
	beat := f.BaseHeartbeat()
	f.cfg.Follower.SetConfigFields(&beat)
	return beat
}

// broadcast sends an update about suspects to all connected entries. The caller must
// hold f.mu; sending does not block.
func (f *Fleet) broadcast(update *wire.SuspectUpdate) {
	if update == nil {
		return
	}
	for _, c := range f.conns {
		if c.hello.Role == wire.RoleEntry {
			_ = c.send(update)
		}
	}
}

// linkOf returns the link to an instance, or nil. The caller must hold f.mu.
func (f *Fleet) linkOf(id model.InstanceID) *link.Link {
	if p := f.peers[id]; p != nil {
		return p.link
	}
	return nil
}

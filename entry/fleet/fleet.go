// Package fleet holds what an entry knows about all other processes: the
// membership view, the connections, load and health of backend servers, and
// requests that crash them. One mutex owns the decision packages behind it.
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

// Fleet is safe for concurrent use.
type Fleet struct {
	cfg Config
	// changed wakes the queues when an instance may take more work.
	changed chan struct{}

	mu       sync.Mutex
	view     *member.View
	picker   *route.Picker
	monitor  *poison.Monitor
	limiters map[route.Key]*admit.Limiter
	agents   map[model.InstanceID]route.Instance
	peers    map[model.InstanceID]*peer
	conns    map[member.ConnID]*connection
	nextConn member.ConnID
	// sent counts the attempts for each agent.
	sent     map[model.InstanceID]int
	required []model.InstanceID
	// unsynced lists agents whose cache is to be asked for, in order.
	unsynced []route.Key
	synced   time.Time
	// listed is when changes of entries and ranks were last sent to agents.
	listed time.Time
	tasks  sync.WaitGroup
}

// New returns a fleet that connects when Run is called.
func New(cfg Config) *Fleet {
	cfg = cfg.applyDefaults()
	return &Fleet{
		cfg:      cfg,
		changed:  make(chan struct{}, 1),
		view:     member.New(cfg.Member),
		picker:   route.New(cfg.Route, cfg.Rand),
		monitor:  poison.New(poison.Config{}, cfg.Identity.Instance, cfg.Identity.Generation),
		limiters: make(map[route.Key]*admit.Limiter),
		agents:   make(map[model.InstanceID]route.Instance),
		peers:    make(map[model.InstanceID]*peer),
		conns:    make(map[member.ConnID]*connection),
		sent:     make(map[model.InstanceID]int),
	}
}

// CapacityChanged receives a value when an instance may take more work than before.
func (f *Fleet) CapacityChanged() <-chan struct{} { return f.changed }

func (f *Fleet) wake() {
	select {
	case f.changed <- struct{}{}:
	default:
	}
}

// Run keeps the view and the connections up to date until ctx ends.
func (f *Fleet) Run(ctx context.Context) {
	tick := time.NewTicker(f.cfg.TickInterval)
	defer tick.Stop()
	var listed time.Time
	for ctx.Err() == nil {
		if now := f.cfg.Clock.Now(); listed.IsZero() || now.Sub(listed) >= f.listInterval() {
			listed = now
			f.readList(ctx)
			f.reconnect(ctx)
		}
		select {
		case <-tick.C:
			f.tick()
		case <-ctx.Done():
		}
	}
	f.tasks.Wait()
}

// listInterval is shorter while nobody is known: the entry may have started
// before the list showed the agents that started with it.
func (f *Fleet) listInterval() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.agents) == 0 {
		return min(f.cfg.ListInterval, startListInterval)
	}
	return f.cfg.ListInterval
}

func (f *Fleet) readList(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, f.cfg.ListInterval)
	defer cancel()
	instances, err := f.cfg.InstanceList.List(ctx)
	if err != nil {
		f.cfg.Log.Log(eventlog.InstanceListUnavailable, "err", err)
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.apply(f.view.ApplyList(f.cfg.Clock.Now(), instances))
}

func (f *Fleet) tick() {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.cfg.Clock.Now()
	for id, c := range f.conns {
		if c.link != nil {
			f.view.SetInFlight(now, id, c.link.InFlight())
		}
	}
	f.apply(f.view.Tick(now))
	f.broadcast(f.monitor.Tick(now))
	if now.Sub(f.listed) >= entryListInterval {
		f.listed = now
		f.sendEntries()
	}
	f.fetchCache(now)
}

// apply acts on changes of the view. The caller holds the mutex.
func (f *Fleet) apply(events []member.Event) {
	now := f.cfg.Clock.Now()
	for _, e := range events {
		key := route.Key{Instance: e.Instance, Generation: e.Generation}
		switch e.Kind {
		case member.Left:
			f.forget(now, key)
			f.logLeft(e)
		case member.Draining:
			f.picker.Drain(key)
			f.cfg.Log.Log(eventlog.AgentDraining, "instance", e.Instance)
		case member.Silent:
			f.cfg.Log.Log(eventlog.ConnectionSilent, "instance", e.Instance)
			if c := f.conns[e.Conn]; c != nil {
				c.drop()
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
			f.wake()
		case member.Listed, member.Disconnected:
			// The link of the instance connects by itself.
		}
	}
}

func (f *Fleet) logLeft(e member.Event) {
	event := eventlog.AgentLost
	if p := f.peers[e.Instance]; p != nil && p.role == backing.RoleEntry {
		event = eventlog.EntryLost
	}
	f.cfg.Log.Log(event, "instance", e.Instance)
}

func (f *Fleet) forget(now time.Time, key route.Key) {
	f.picker.Remove(now, key)
	delete(f.limiters, key)
	if f.agents[key.Instance].Generation == key.Generation {
		delete(f.agents, key.Instance)
		delete(f.sent, key.Instance)
	}
}

// BaseHeartbeat returns a heartbeat of this entry without its configuration fields.
func (f *Fleet) BaseHeartbeat() wire.Heartbeat {
	return wire.Heartbeat{Draining: f.cfg.Draining()}
}

func (f *Fleet) heartbeat() wire.Heartbeat {
	beat := f.BaseHeartbeat()
	f.cfg.Follower.SetConfigFields(&beat)
	return beat
}

// broadcast sends news about suspects to all entries. The caller holds the
// mutex; sends do not block.
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

func (f *Fleet) linkOf(id model.InstanceID) *link.Link {
	if p := f.peers[id]; p != nil {
		return p.link
	}
	return nil
}

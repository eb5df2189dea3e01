package fleet

import (
	"slices"

	"github.com/auburnbend/auburnbend/lib/backing"
	"github.com/auburnbend/auburnbend/lib/config"
	"github.com/auburnbend/auburnbend/lib/engine"
	"github.com/auburnbend/auburnbend/lib/member"
	"github.com/auburnbend/auburnbend/lib/model"
	"github.com/auburnbend/auburnbend/lib/rollout"
	"github.com/auburnbend/auburnbend/lib/wire"
)

// Size returns the number of entries that share the read budget of the configuration
// store, including this one.
func (f *Fleet) Size() config.FleetSize {
	f.mu.Lock()
	defer f.mu.Unlock()
	size := config.FleetSize{Entries: 1, DomainEntries: 1}
	for _, m := range f.view.Members(backing.RoleEntry) {
		if m.State == member.StateGone || m.Identity.Instance == f.cfg.Identity.Instance {
			continue
		}
		size.Entries++
		if m.Identity.Location == f.cfg.Identity.Location {
			size.DomainEntries++
		}
	}
	return size
}

// Members returns all other entries and agents that are not gone.
func (f *Fleet) Members() []member.Member {
	f.mu.Lock()
	defer f.mu.Unlock()
	members := append(f.view.Members(backing.RoleEntry), f.view.Members(backing.RoleAgent)...)
	return slices.DeleteFunc(members, func(m member.Member) bool {
		return m.Identity.Instance == f.cfg.Identity.Instance
	})
}

// Entries returns the other entries that are not gone.
func (f *Fleet) Entries() []member.Member {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.presentMembers(backing.RoleEntry)
}

// Send sends a message to a connected instance. It reports whether the instance is
// connected and the message could be queued.
func (f *Fleet) Send(to model.InstanceID, m wire.Message) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, c := range f.conns {
		if c.hello.Identity.Instance == to {
			return c.send(m) == nil
		}
	}
	return false
}

// PoolState returns the state of a pool in the failure domain of this entry, limited to
// the instances that the entry is connected to.
func (f *Fleet) PoolState(pool string) rollout.PoolState {
	f.mu.Lock()
	defer f.mu.Unlock()
	var g rollout.PoolState
	for _, m := range f.view.Members(backing.RoleAgent) {
		if m.Pool != pool || m.State != member.StateLive || m.Identity.Location != f.cfg.Identity.Location {
			continue
		}
		load := m.Heartbeat.Load
		g.Running += load.Running
		g.Queued += load.Queued
		if len(m.Heartbeat.LiveWeights) > 0 && !m.Draining {
			g.Live++
			g.Capacity += load.Capacity
		}
	}
	return g
}

// Traffic returns the number of bytes sent and received on the open connections that
// this entry has opened.
func (f *Fleet) Traffic() (sent, received int64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, p := range f.peers {
		s, r := p.link.Bytes()
		sent += s
		received += r
	}
	return sent, received
}

// AttemptsSent returns the number of attempts placed on the current generation of an
// agent.
func (f *Fleet) AttemptsSent(id model.InstanceID) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.attemptsSent[id]
}

// PrefixCached reports whether any instance is assumed to have the prefix of a body
// cached for the given weights.
func (f *Fleet) PrefixCached(body []byte, weights model.Weights) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.picker.HasCached(uint64(engine.HashPrefix(body).Block(weights)))
}

// UsableAgents returns the number of agents that may get new work.
func (f *Fleet) UsableAgents() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	usable := 0
	for _, m := range f.view.Members(backing.RoleAgent) {
		if m.Usable(f.cfg.Clock.Now()) {
			usable++
		}
	}
	return usable
}

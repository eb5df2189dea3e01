package fleet

import (
	"context"
	"slices"

	"github.com/auburnbend/auburnbend/entry/link"
	"github.com/auburnbend/auburnbend/lib/backing"
	"github.com/auburnbend/auburnbend/lib/member"
	"github.com/auburnbend/auburnbend/lib/model"
	"github.com/auburnbend/auburnbend/lib/rendezvous"
	"github.com/auburnbend/auburnbend/lib/subset"
)

// reconnect opens links to the members that this entry is to connect to and
// ends those to others.
func (f *Fleet) reconnect(ctx context.Context) {
	f.mu.Lock()
	defer f.mu.Unlock()
	wanted := f.wanted()
	for id, m := range wanted {
		p := f.peers[id]
		if p != nil && p.moved(m) {
			p.cancel()
			p = nil
		}
		if p == nil {
			f.open(ctx, m)
		}
	}
	for id, p := range f.peers {
		if _, ok := wanted[id]; !ok && p.link.InFlight() == 0 {
			p.cancel()
			delete(f.peers, id)
		}
	}
}

// wanted returns the members that this entry connects to. Members that are gone
// and still listed are tried again where this entry would connect to them, and
// take no place of a live one. The caller holds the mutex.
func (f *Fleet) wanted() map[model.InstanceID]member.Member {
	entries, agents := f.present(backing.RoleEntry), f.present(backing.RoleAgent)
	wanted := f.choose(entries, agents)
	lostEntries, lostAgents := f.view.GoneListed(backing.RoleEntry), f.view.GoneListed(backing.RoleAgent)
	if len(lostEntries)+len(lostAgents) == 0 {
		return wanted
	}
	for id, m := range f.choose(append(entries, lostEntries...), append(agents, lostAgents...)) {
		if m.State == member.StateGone {
			wanted[id] = m
		}
	}
	return wanted
}

// choose returns the entry's part of the agents of the failure domain, a few
// agents elsewhere for spilling, and a few entries, at least one in each other
// failure domain. The caller holds the mutex.
func (f *Fleet) choose(entries, agents []member.Member) map[model.InstanceID]member.Member {
	wanted := make(map[model.InstanceID]member.Member)
	own := f.cfg.Identity.Instance
	location := f.cfg.Identity.Location

	plan := subset.Assign(f.cfg.Subset, append(ids(in(entries, location)), own), poolsOf(in(agents, location)))
	chosen := append(plan.Agents(own), subset.Spill(f.cfg.Subset, own, poolsOf(outside(agents, location)))...)
	chosen = append(chosen, rendezvous.Rank(string(own), ids(in(entries, location)), entryPeers)...)
	for _, group := range byDomain(outside(entries, location)) {
		chosen = append(chosen, rendezvous.Rank(string(own), ids(group), 1)...)
	}
	chosen = append(chosen, f.required...)
	byID := make(map[model.InstanceID]member.Member)
	for _, m := range append(entries, agents...) {
		byID[m.Identity.Instance] = m
	}
	for _, id := range chosen {
		if m, ok := byID[id]; ok {
			wanted[id] = m
		}
	}
	return wanted
}

// RequireConnections keeps connections to the given members besides those that the entry
// has anyway.
func (f *Fleet) RequireConnections(ctx context.Context, members []model.InstanceID) {
	f.mu.Lock()
	same := slices.Equal(f.required, members)
	f.required = members
	f.mu.Unlock()
	if !same {
		f.reconnect(ctx)
	}
}

// present returns the members of a role that are not gone, without this entry.
func (f *Fleet) present(role backing.InstanceRole) []member.Member {
	var present []member.Member
	for _, m := range f.view.Members(role) {
		if m.State != member.StateGone && m.Identity.Instance != f.cfg.Identity.Instance {
			present = append(present, m)
		}
	}
	return present
}

func in(members []member.Member, location model.Location) []member.Member {
	var found []member.Member
	for _, m := range members {
		if m.Identity.Location == location {
			found = append(found, m)
		}
	}
	return found
}

func outside(members []member.Member, location model.Location) []member.Member {
	var found []member.Member
	for _, m := range members {
		if m.Identity.Location != location {
			found = append(found, m)
		}
	}
	return found
}

func byDomain(members []member.Member) map[model.Location][]member.Member {
	groups := make(map[model.Location][]member.Member)
	for _, m := range members {
		groups[m.Identity.Location] = append(groups[m.Identity.Location], m)
	}
	return groups
}

func ids(members []member.Member) []model.InstanceID {
	names := make([]model.InstanceID, 0, len(members)+1)
	for _, m := range members {
		names = append(names, m.Identity.Instance)
	}
	return names
}

func poolsOf(members []member.Member) []subset.Agent {
	agents := make([]subset.Agent, 0, len(members))
	for _, m := range members {
		agents = append(agents, subset.Agent{ID: m.Identity.Instance, Pool: m.Pool})
	}
	return agents
}

// open starts the goroutine that keeps the connection to a member. The caller
// holds the mutex.
func (f *Fleet) open(ctx context.Context, m member.Member) {
	ctx, cancel := context.WithCancel(ctx)
	l := link.New(link.Config{
		Instance:   m.Identity.Instance,
		Address:    m.Identity.Address,
		Dial:       f.cfg.Dial,
		Heartbeat:  f.heartbeat,
		NextConnID: f.newConnID,
	}, linkHandler{fleet: f})
	f.peers[m.Identity.Instance] = &peer{role: m.Role, address: m.Identity.Address, link: l, cancel: cancel}
	f.tasks.Add(1)
	go func() {
		defer f.tasks.Done()
		l.Run(ctx)
	}()
}

func (f *Fleet) newConnID() member.ConnID {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.nextConn++
	return f.nextConn
}

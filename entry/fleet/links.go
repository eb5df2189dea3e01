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

// updateLinks opens links to the members that this entry should connect to, and
// closes links to other members that have no attempts in flight.
func (f *Fleet) updateLinks(ctx context.Context) {
	f.mu.Lock()
	defer f.mu.Unlock()
	wanted := f.wantedPeers()
	for id, m := range wanted {
		p := f.peers[id]
		if p != nil && p.addressChanged(m) {
			p.cancel()
			p = nil
		}
		if p == nil {
			f.openLink(ctx, m)
		}
	}
	for id, p := range f.peers {
		if _, ok := wanted[id]; !ok && p.link.InFlight() == 0 {
			p.cancel()
			delete(f.peers, id)
		}
	}
}

// wantedPeers returns the members that this entry should connect to. Members that
// are gone but still listed are included if they would be chosen when alive. They
// are added to the live members and do not displace any. The caller must hold f.mu.
func (f *Fleet) wantedPeers() map[model.InstanceID]member.Member {
	entries, agents := f.presentMembers(backing.RoleEntry), f.presentMembers(backing.RoleAgent)
	wanted := f.choosePeers(entries, agents)
	goneEntries, goneAgents := f.view.GoneListed(backing.RoleEntry), f.view.GoneListed(backing.RoleAgent)
	if len(goneEntries)+len(goneAgents) == 0 {
		return wanted
	}
	for id, m := range f.choosePeers(append(entries, goneEntries...), append(agents, goneAgents...)) {
		if m.State == member.StateGone {
			wanted[id] = m
		}
	}
	return wanted
}

// choosePeers selects this entry's subset of the agents in its failure domain, a few
// agents elsewhere for spillover, up to maxEntryPeers entries in its failure domain,
// one entry in each other failure domain, and the required members. The caller must
// hold f.mu.
func (f *Fleet) choosePeers(entries, agents []member.Member) map[model.InstanceID]member.Member {
	wanted := make(map[model.InstanceID]member.Member)
	own := f.cfg.Identity.Instance
	location := f.cfg.Identity.Location

	plan := subset.Assign(f.cfg.Subset, append(instanceIDs(inLocation(entries, location)), own), subsetAgents(inLocation(agents, location)))
	chosen := append(plan.Agents(own), subset.Spill(f.cfg.Subset, own, subsetAgents(outsideLocation(agents, location)))...)
	chosen = append(chosen, rendezvous.Rank(string(own), instanceIDs(inLocation(entries, location)), maxEntryPeers)...)
	for _, group := range groupByLocation(outsideLocation(entries, location)) {
		chosen = append(chosen, rendezvous.Rank(string(own), instanceIDs(group), 1)...)
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

// RequireConnections sets the members that the entry has to be connected to in
// addition to those that it chooses. It replaces the previous setting.
func (f *Fleet) RequireConnections(ctx context.Context, members []model.InstanceID) {
	f.mu.Lock()
	same := slices.Equal(f.required, members)
	f.required = members
	f.mu.Unlock()
	if !same {
		f.updateLinks(ctx)
	}
}

// presentMembers returns the members of a role that are not gone, except this entry.
// The caller must hold f.mu.
func (f *Fleet) presentMembers(role backing.InstanceRole) []member.Member {
	var present []member.Member
	for _, m := range f.view.Members(role) {
		if m.State != member.StateGone && m.Identity.Instance != f.cfg.Identity.Instance {
			present = append(present, m)
		}
	}
	return present
}

// inLocation returns the members in a location.
func inLocation(members []member.Member, location model.Location) []member.Member {
	var found []member.Member
	for _, m := range members {
		if m.Identity.Location == location {
			found = append(found, m)
		}
	}
	return found
}

// outsideLocation returns the members in other locations.
func outsideLocation(members []member.Member, location model.Location) []member.Member {
	var found []member.Member
	for _, m := range members {
		if m.Identity.Location != location {
			found = append(found, m)
		}
	}
	return found
}

// groupByLocation groups members by location.
func groupByLocation(members []member.Member) map[model.Location][]member.Member {
	groups := make(map[model.Location][]member.Member)
	for _, m := range members {
		groups[m.Identity.Location] = append(groups[m.Identity.Location], m)
	}
	return groups
}

// instanceIDs returns the IDs of members. The slice has room for one more ID.
func instanceIDs(members []member.Member) []model.InstanceID {
	ids := make([]model.InstanceID, 0, len(members)+1)
	for _, m := range members {
		ids = append(ids, m.Identity.Instance)
	}
	return ids
}

// subsetAgents converts members to the type that lib/subset uses.
func subsetAgents(members []member.Member) []subset.Agent {
	agents := make([]subset.Agent, 0, len(members))
	for _, m := range members {
		agents = append(agents, subset.Agent{ID: m.Identity.Instance, Pool: m.Pool})
	}
	return agents
}

// openLink starts a goroutine that maintains a connection to a member until ctx ends
// or the peer's cancel function is called. The caller must hold f.mu.
func (f *Fleet) openLink(ctx context.Context, m member.Member) {
	ctx, cancel := context.WithCancel(ctx)
	l := link.New(link.Config{
		Instance:   m.Identity.Instance,
		Address:    m.Identity.Address,
		Dial:       f.cfg.Dial,
		Heartbeat:  f.heartbeat,
		NextConnID: f.newConnID,
	}, linkHandler{fleet: f})
	f.peers[m.Identity.Instance] = &peer{role: m.Role, address: m.Identity.Address, link: l, cancel: cancel}
	f.runningLinks.Add(1)
	go func() {
		defer f.runningLinks.Done()
		l.Run(ctx)
	}()
}

// newConnID returns a new connection ID. It locks f.mu.
func (f *Fleet) newConnID() member.ConnID {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.nextConn++
	return f.nextConn
}

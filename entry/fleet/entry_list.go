package fleet

import (
	"slices"

	"github.com/auburnbend/auburnbend/lib/backing"
	"github.com/auburnbend/auburnbend/lib/member"
	"github.com/auburnbend/auburnbend/lib/model"
	"github.com/auburnbend/auburnbend/lib/rendezvous"
	"github.com/auburnbend/auburnbend/lib/wire"
)

// entryAddresses returns the peer addresses of the live entries in the failure
// domain, including this one, from which agents choose their trackers. The caller
// must hold f.mu.
func (f *Fleet) entryAddresses() []string {
	addresses := []string{f.cfg.Identity.Address}
	for _, m := range inLocation(f.presentMembers(backing.RoleEntry), f.cfg.Identity.Location) {
		if m.State == member.StateLive && !m.Draining {
			addresses = append(addresses, m.Identity.Address)
		}
	}
	return addresses
}

// poolRanks returns the position of each agent of the failure domain in the
// rendezvous order of its pool. The order is the same at all entries that know the
// same agents. When an instance leaves, others move up by at most one position.
// Draining agents come behind all others. The caller must hold f.mu.
func (f *Fleet) poolRanks() map[model.InstanceID]int {
	agents := inLocation(f.presentMembers(backing.RoleAgent), f.cfg.Identity.Location)
	pools := make(map[string][]model.InstanceID)
	for _, m := range agents {
		if !m.Draining {
			pools[m.Pool] = append(pools[m.Pool], m.Identity.Instance)
		}
	}
	ranks := make(map[model.InstanceID]int)
	for pool, members := range pools {
		for rank, id := range rendezvous.Rank(pool, members, len(members)) {
			ranks[id] = rank
		}
	}
	for _, m := range agents {
		if m.Draining {
			ranks[m.Identity.Instance] = len(pools[m.Pool])
		}
	}
	return ranks
}

// sendEntryLists sends agents of the failure domain the list of live entries and
// their own rank if either has changed since the last one sent. The caller must
// hold f.mu.
func (f *Fleet) sendEntryLists() {
	addresses, ranks := f.entryAddresses(), f.poolRanks()
	for _, c := range f.conns {
		if c.hello.Role != wire.RoleAgent || c.hello.Identity.Location != f.cfg.Identity.Location {
			continue
		}
		rank, present := ranks[c.hello.Identity.Instance]
		if !present {
			// The agent is gone, and its connection is about to end.
			continue
		}
		if c.sentEntryList != nil && c.sentEntryList.Rank == rank && slices.Equal(c.sentEntryList.Addresses, addresses) {
			continue
		}
		list := &wire.EntryList{Addresses: addresses, Rank: rank}
		if c.send(list) == nil {
			c.sentEntryList = list
		}
	}
}

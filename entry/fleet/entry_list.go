package fleet

import (
	"slices"

	"github.com/auburnbend/auburnbend/lib/backing"
	"github.com/auburnbend/auburnbend/lib/member"
	"github.com/auburnbend/auburnbend/lib/model"
	"github.com/auburnbend/auburnbend/lib/rendezvous"
	"github.com/auburnbend/auburnbend/lib/wire"
)

// entryAddresses returns the peer addresses of the live entries of the failure
// domain, this one included, for the agents' choice of trackers. The caller
// holds the mutex.
func (f *Fleet) entryAddresses() []string {
	addresses := []string{f.cfg.Identity.Address}
	for _, m := range in(f.present(backing.RoleEntry), f.cfg.Identity.Location) {
		if m.State == member.StateLive && !m.Draining {
			addresses = append(addresses, m.Identity.Address)
		}
	}
	return addresses
}

// poolRanks returns the position of each agent of the failure domain in the
// rendezvous order of its pool, the same at all entries that see the same list.
// An instance that leaves moves others up by one place at most. The caller holds
// the mutex.
func (f *Fleet) poolRanks() map[model.InstanceID]int {
	pools := make(map[string][]model.InstanceID)
	for _, m := range in(f.present(backing.RoleAgent), f.cfg.Identity.Location) {
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
	return ranks
}

// sendEntries tells the agents of the failure domain when its live entries or
// their own ranks have changed. The caller holds the mutex.
func (f *Fleet) sendEntries() {
	addresses, ranks := f.entryAddresses(), f.poolRanks()
	for _, c := range f.conns {
		if c.hello.Role != wire.RoleAgent || c.hello.Identity.Location != f.cfg.Identity.Location {
			continue
		}
		rank := ranks[c.hello.Identity.Instance]
		if c.told != nil && c.told.Rank == rank && slices.Equal(c.told.Addresses, addresses) {
			continue
		}
		list := &wire.EntryList{Addresses: addresses, Rank: rank}
		if c.send(list) == nil {
			c.told = list
		}
	}
}

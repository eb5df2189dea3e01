package subset

import (
	"cmp"
	"slices"

	"github.com/auburnbend/auburnbend/lib/model"
	"github.com/auburnbend/auburnbend/lib/rendezvous"
)

// candidate is a possible partner with the weight of the pair.
type candidate struct {
	index  int
	weight uint64
}

// proposer is the state of one agent in the matching.
type proposer struct {
	ranking []candidate // entries in falling order of weight
	next    int         // first entry not proposed to
	missing int         // connections still wanted
}

// matching holds the state of one calculation.
type matching struct {
	cfg         Config
	entries     []model.InstanceID
	agents      []Agent
	entryHashes []uint64
	agentHashes []uint64
	proposers   []proposer
	accepted    [][]candidate // by entry: agents in falling order of weight
	capacities  []int         // by entry
	pending     []int         // agents that may have to propose
}

func newMatching(cfg Config, entries []model.InstanceID, agents []Agent) *matching {
	m := &matching{cfg: cfg}
	m.entries = slices.Compact(slices.Sorted(slices.Values(entries)))
	m.agents = slices.Clone(agents)
	slices.SortFunc(m.agents, func(a, b Agent) int { return cmp.Compare(a.ID, b.ID) })
	m.agents = slices.CompactFunc(m.agents, func(a, b Agent) bool { return a.ID == b.ID })
	m.accepted = make([][]candidate, len(m.entries))
	for range m.entries {
		m.capacities = append(m.capacities, capacity(cfg, len(m.entries), len(m.agents)))
	}
	for _, e := range m.entries {
		m.entryHashes = append(m.entryHashes, rendezvous.Hash(string(e)))
	}
	for _, a := range m.agents {
		hash := rendezvous.Hash(string(a.ID))
		m.agentHashes = append(m.agentHashes, hash)
		ranking := make([]candidate, len(m.entries))
		for i, entryHash := range m.entryHashes {
			ranking[i] = candidate{i, rendezvous.Combine(hash, entryHash)}
		}
		slices.SortFunc(ranking, byWeight)
		wanted := degree(cfg, len(m.entries), len(m.agents), hash)
		m.proposers = append(m.proposers, proposer{ranking: ranking, missing: wanted})
		m.pending = append(m.pending, len(m.pending))
	}
	return m
}

// match runs proposals until each agent has the connections that it wants or
// has been refused by all entries.
func (m *matching) match() {
	for len(m.pending) > 0 {
		agent := m.pending[len(m.pending)-1]
		p := &m.proposers[agent]
		if p.missing == 0 || p.next == len(p.ranking) {
			m.pending = m.pending[:len(m.pending)-1]
			continue
		}
		proposal := p.ranking[p.next]
		p.next++
		p.missing--
		entry := proposal.index
		list := m.accepted[entry]
		c := candidate{agent, proposal.weight}
		at, _ := slices.BinarySearchFunc(list, c, byWeight)
		m.accepted[entry] = slices.Insert(list, at, c)
		m.shrink(entry)
	}
}

// shrink drops the agents that an entry has over its capacity.
func (m *matching) shrink(entry int) {
	list := m.accepted[entry]
	for len(list) > m.capacities[entry] {
		last := list[len(list)-1].index
		list = list[:len(list)-1]
		m.proposers[last].missing++
		m.pending = append(m.pending, last)
	}
	m.accepted[entry] = list
}

func (m *matching) plan() Plan {
	byEntry := make(map[model.InstanceID][]model.InstanceID, len(m.entries))
	for i, e := range m.entries {
		agents := make([]model.InstanceID, 0, len(m.accepted[i]))
		for _, c := range m.accepted[i] {
			agents = append(agents, m.agents[c.index].ID)
		}
		slices.Sort(agents)
		byEntry[e] = agents
	}
	return Plan{byEntry: byEntry}
}

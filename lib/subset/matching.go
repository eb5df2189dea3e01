package subset

import (
	"cmp"
	"slices"

	"github.com/auburnbend/auburnbend/lib/model"
	"github.com/auburnbend/auburnbend/lib/rendezvous"
)

// candidate is a possible partner in the matching with the weight of the pair.
type candidate struct {
	index  int
	weight uint64
}

// proposer holds the state of one agent in the matching.
type proposer struct {
	ranking []candidate // entries by descending weight
	next    int         // index in ranking of the next entry to propose to
	wanted  int         // connections still wanted
}

// matching holds the state of one call of Assign.
type matching struct {
	cfg         Config
	entries     []model.InstanceID
	agents      []Agent
	entryHashes []uint64
	agentHashes []uint64
	proposers   []proposer
	accepted    [][]candidate // by entry: agents by descending weight
	capacities  []int         // by entry
	pending     []int         // stack of agents that may have proposals to make
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
			ranking[i] = candidate{i, rendezvous.Score(hash, entryHash)}
		}
		slices.SortFunc(ranking, byWeight)
		wanted := degree(cfg, len(m.entries), len(m.agents), hash)
		m.proposers = append(m.proposers, proposer{ranking: ranking, wanted: wanted})
		m.pending = append(m.pending, len(m.pending))
	}
	return m
}

// match runs proposals until each agent has its wanted connections or has been
// rejected by all entries.
func (m *matching) match() {
	for len(m.pending) > 0 {
		agent := m.pending[len(m.pending)-1]
		p := &m.proposers[agent]
		if p.wanted == 0 || p.next == len(p.ranking) {
			m.pending = m.pending[:len(m.pending)-1]
			continue
		}
		proposal := p.ranking[p.next]
		p.next++
		p.wanted--
		entry := proposal.index
		list := m.accepted[entry]
		c := candidate{agent, proposal.weight}
		at, _ := slices.BinarySearchFunc(list, c, byWeight)
		m.accepted[entry] = slices.Insert(list, at, c)
		m.trimToCapacity(entry)
	}
}

// trimToCapacity rejects the agents with the lowest weights that exceed the
// capacity of an entry.
func (m *matching) trimToCapacity(entry int) {
	list := m.accepted[entry]
	for len(list) > m.capacities[entry] {
		last := list[len(list)-1].index
		list = list[:len(list)-1]
		m.proposers[last].wanted++
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

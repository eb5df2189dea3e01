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
	capacity    int
}

func newMatching(cfg Config, entries []model.InstanceID, agents []Agent) *matching {
	m := &matching{cfg: cfg}
	m.entries = slices.Compact(slices.Sorted(slices.Values(entries)))
	m.agents = slices.Clone(agents)
	slices.SortFunc(m.agents, func(a, b Agent) int { return cmp.Compare(a.ID, b.ID) })
	m.agents = slices.CompactFunc(m.agents, func(a, b Agent) bool { return a.ID == b.ID })
	poolSizes := make(map[string]int)
	for _, a := range m.agents {
		poolSizes[a.Pool]++
	}
	m.capacity = capacity(cfg, len(m.entries), poolSizes)
	m.accepted = make([][]candidate, len(m.entries))
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
	}
	return m
}

// match runs proposals until each agent has the connections that it wants or
// has been refused by all entries.
func (m *matching) match() {
	pending := make([]int, len(m.agents))
	for i := range pending {
		pending[i] = i
	}
	for len(pending) > 0 {
		agent := pending[len(pending)-1]
		p := &m.proposers[agent]
		if p.missing == 0 || p.next == len(p.ranking) {
			pending = pending[:len(pending)-1]
			continue
		}
		proposal := p.ranking[p.next]
		p.next++
		p.missing--
		if displaced := m.offer(proposal.index, candidate{agent, proposal.weight}); displaced >= 0 {
			m.proposers[displaced].missing++
			pending = append(pending, displaced)
		}
	}
}

// offer gives an entry one more agent and returns the agent that it drops, or
// -1.
func (m *matching) offer(entry int, c candidate) int {
	list := m.accepted[entry]
	at, _ := slices.BinarySearchFunc(list, c, byWeight)
	list = slices.Insert(list, at, c)
	dropped := -1
	if len(list) > m.capacity {
		dropped = list[len(list)-1].index
		list = list[:len(list)-1]
	}
	m.accepted[entry] = list
	return dropped
}

// fillPools adds connections to pools of which an entry has too few agents, in
// the room that capacity leaves.
func (m *matching) fillPools() {
	pools := make(map[string][]int)
	for i, a := range m.agents {
		pools[a.Pool] = append(pools[a.Pool], i)
	}
	for entry := range m.entries {
		have := make(map[string]int)
		held := make(map[int]bool, len(m.accepted[entry]))
		for _, c := range m.accepted[entry] {
			have[m.agents[c.index].Pool]++
			held[c.index] = true
		}
		for pool, members := range pools {
			missing := min(m.cfg.MinPerPool, len(members)) - have[pool]
			if missing <= 0 {
				continue
			}
			var free []candidate
			for _, i := range members {
				if !held[i] {
					free = append(free, candidate{i, rendezvous.Combine(m.agentHashes[i], m.entryHashes[entry])})
				}
			}
			slices.SortFunc(free, byWeight)
			m.accepted[entry] = append(m.accepted[entry], free[:missing]...)
		}
	}
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

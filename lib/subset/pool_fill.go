package subset

import (
	"maps"
	"slices"

	"github.com/auburnbend/auburnbend/lib/rendezvous"
)

// reservePoolRoom lowers the capacity of full entries that lack an agent of
// some pool, so that fillPools can add one within MaxPerEntry. Reserving room
// at all entries would move more connections with each change.
func (m *matching) reservePoolRoom() {
	pools := m.pools()
	for changed := true; changed; {
		changed = false
		for entry := range m.entries {
			missing := len(pools) - len(m.poolCounts(entry))
			room := max(0, m.cfg.MaxPerEntry-missing)
			if missing > 0 && len(m.accepted[entry]) > room && m.capacities[entry] == m.cfg.MaxPerEntry {
				m.capacities[entry] = room
				m.trimToCapacity(entry)
				m.match()
				changed = true
			}
		}
	}
}

// fillPools adds connections to pools of which an entry has too few agents.
func (m *matching) fillPools() {
	pools := m.pools()
	names := slices.Sorted(maps.Keys(pools))
	for entry := range m.entries {
		have := m.poolCounts(entry)
		// Each pool gets its first agent before any pool gets its second.
		for wanted := 1; wanted <= m.cfg.MinPerPool; wanted++ {
			for _, name := range names {
				full := wanted > 1 && len(m.accepted[entry]) >= m.cfg.MaxPerEntry
				if have[name] >= min(wanted, len(pools[name])) || full {
					continue
				}
				m.accepted[entry] = append(m.accepted[entry], m.bestCandidate(entry, pools[name]))
				have[name]++
			}
		}
	}
}

// bestCandidate returns the agent with the highest weight among those that the
// entry is not connected to.
func (m *matching) bestCandidate(entry int, agents []int) candidate {
	best := candidate{index: -1}
	for _, i := range agents {
		c := candidate{i, rendezvous.Score(m.agentHashes[i], m.entryHashes[entry])}
		connected := slices.ContainsFunc(m.accepted[entry], func(a candidate) bool { return a.index == i })
		if !connected && (best.index < 0 || byWeight(c, best) < 0) {
			best = c
		}
	}
	return best
}

// pools returns the indexes of the agents by pool.
func (m *matching) pools() map[string][]int {
	pools := make(map[string][]int)
	for i, a := range m.agents {
		pools[a.Pool] = append(pools[a.Pool], i)
	}
	return pools
}

// poolCounts returns the number of agents of each pool that an entry is
// connected to.
func (m *matching) poolCounts(entry int) map[string]int {
	have := make(map[string]int)
	for _, c := range m.accepted[entry] {
		have[m.agents[c.index].Pool]++
	}
	return have
}

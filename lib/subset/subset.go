// Package subset decides which entries of a failure domain connect to which
// agents. All functions are pure: every process that sees the same members
// calculates the same connections, whatever order it learnt them in, and a
// process that sees one member more or less calculates almost the same.
package subset

import (
	"cmp"
	"math"
	"slices"

	"github.com/auburnbend/auburnbend/lib/model"
	"github.com/auburnbend/auburnbend/lib/rendezvous"
)

// Assign calculates the connections of one failure domain.
//
// Agents and entries are matched by deferred acceptance (Gale and Shapley,
// 1962). Both sides prefer by the same rendezvous weights, so the matching is
// unique and does not depend on the order of the input. A change displaces
// further connections only where an entry is full. Each entry then adds its
// preferred agents of any pool of which it has fewer than Config.MinPerPool,
// as far as the bound allows; one of each pool it gets in any case.
//
// With few agents per entry an agent connects to more entries than the least
// number, up to all of them, in proportion to the free room.
func Assign(cfg Config, entries []model.InstanceID, agents []Agent) Plan {
	cfg.applyDefaults()
	m := newMatching(cfg, entries, agents)
	m.match()
	m.makeRoom()
	m.fillPools()
	return m.plan()
}

// Spill returns the agents of other failure domains that an entry connects to,
// at most Config.SpillConnections and evenly over their pools.
func Spill(cfg Config, entry model.InstanceID, others []Agent) []model.InstanceID {
	cfg.applyDefaults()
	byPool := make(map[string][]model.InstanceID)
	for _, a := range others {
		byPool[a.Pool] = append(byPool[a.Pool], a.ID)
	}
	pools := make([]string, 0, len(byPool))
	for p, ids := range byPool {
		pools = append(pools, p)
		byPool[p] = rendezvous.Rank(string(entry), ids, cfg.SpillConnections)
	}
	slices.Sort(pools)
	var out []model.InstanceID
	for rank := 0; rank < cfg.SpillConnections; rank++ {
		for _, p := range pools {
			if rank < len(byPool[p]) && len(out) < cfg.SpillConnections {
				out = append(out, byPool[p][rank])
			}
		}
	}
	slices.Sort(out)
	return out
}

// degree returns how many entries an agent connects to. The fraction is spread
// over agents by their hash, so that it changes smoothly with the sizes.
func degree(cfg Config, entries, agents int, agentHash uint64) int {
	least := min(cfg.MinPerAgent, entries)
	// Half of the bound is used for more than the least number, the rest is
	// room for growth.
	want := float64(cfg.MaxPerEntry) / 2 * float64(entries) / float64(agents)
	want = min(max(want, float64(least)), float64(entries))
	whole := int(want)
	const hashRange = float64(math.MaxUint64)
	if float64(agentHash)/hashRange < want-float64(whole) {
		whole++
	}
	return min(whole, entries)
}

// capacity returns how many agents an entry accepts. An agent that is refused
// by all entries has fewer than the least number of connections, so all but at
// most least-1 entries are full. The bound gives way before that can happen.
func capacity(cfg Config, entries, agents int) int {
	if entries == 0 {
		return 0
	}
	least := min(cfg.MinPerAgent, entries)
	needed := int(math.Ceil(float64(least*agents) / float64(entries-least+1)))
	return max(cfg.MaxPerEntry, min(needed, agents))
}

// byWeight orders candidates by falling weight, then by index.
func byWeight(a, b candidate) int {
	if c := cmp.Compare(b.weight, a.weight); c != 0 {
		return c
	}
	return cmp.Compare(a.index, b.index)
}

// Package subset determines which entries of a failure domain connect to which
// agents. All functions are pure: processes that see the same members compute
// the same connections, independent of the order in which they learned of them,
// and a process that sees one member more or less computes almost the same
// connections.
package subset

import (
	"cmp"
	"math"
	"slices"

	"github.com/auburnbend/auburnbend/lib/model"
	"github.com/auburnbend/auburnbend/lib/rendezvous"
)

// Assign computes the connections of one failure domain.
//
// Agents and entries are matched by deferred acceptance (Gale and Shapley,
// 1962). Both sides rank by the same rendezvous weights, so the matching is
// unique and independent of the input order. A change moves further connections
// only where an entry is full. Each entry then adds its preferred agents of any
// pool of which it has fewer than Config.MinPerPool, as far as
// Config.MaxPerEntry allows; it always gets one agent of each pool.
//
// If there are few agents per entry, an agent connects to more than the minimum
// number of entries, up to all of them, in proportion to the free capacity.
func Assign(cfg Config, entries []model.InstanceID, agents []Agent) Plan {
	cfg.applyDefaults()
	m := newMatching(cfg, entries, agents)
	m.match()
	m.reservePoolRoom()
	m.fillPools()
	return m.plan()
}

// Spill returns the agents of other failure domains that an entry connects to,
// at most Config.SpillConnections, spread evenly over their pools and sorted by
// ID.
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

// degree returns the number of entries that an agent connects to. The
// fractional part is distributed over the agents by hash, so that the total
// changes smoothly with the number of members.
func degree(cfg Config, entries, agents int, agentHash uint64) int {
	minimum := min(cfg.MinPerAgent, entries)
	// Half of MaxPerEntry is used for connections above the minimum; the rest is
	// reserved for growth.
	want := float64(cfg.MaxPerEntry) / 2 * float64(entries) / float64(agents)
	want = min(max(want, float64(minimum)), float64(entries))
	whole := int(want)
	const hashRange = float64(math.MaxUint64)
	if float64(agentHash)/hashRange < want-float64(whole) {
		whole++
	}
	return min(whole, entries)
}

// capacity returns the number of agents that an entry accepts. An agent that is
// rejected by all entries has fewer connections than the minimum, so all but at
// most minimum-1 entries are full. The limit is raised before that can happen.
func capacity(cfg Config, entries, agents int) int {
	if entries == 0 {
		return 0
	}
	minimum := min(cfg.MinPerAgent, entries)
	needed := int(math.Ceil(float64(minimum*agents) / float64(entries-minimum+1)))
	return max(cfg.MaxPerEntry, min(needed, agents))
}

// byWeight orders candidates by descending weight, then by index.
func byWeight(a, b candidate) int {
	if c := cmp.Compare(b.weight, a.weight); c != 0 {
		return c
	}
	return cmp.Compare(a.index, b.index)
}

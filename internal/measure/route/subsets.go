package route

import (
	"math/rand/v2"
	"slices"
	"strconv"

	"github.com/auburnbend/auburnbend/internal/measure/figure"
	"github.com/auburnbend/auburnbend/internal/measure/fleet"
	"github.com/auburnbend/auburnbend/lib/model"
	"github.com/auburnbend/auburnbend/lib/subset"
)

const (
	// domainEntries and domainAgents are the planned sizes of one of the 15
	// failure domains.
	domainEntries = 40
	domainAgents  = 667
	// membershipChanges is the number of changes over which the moved connections
	// are averaged.
	membershipChanges = 1000
	// maxMovedPerChange is the target for the moved connections per change.
	maxMovedPerChange = 2
)

// pools holds the pools and the share of agents in each.
var pools = []struct {
	name  string
	share float64
}{{"large", 0.7}, {"small", 0.25}, {"booking", 0.05}}

// domain is the changing membership of one failure domain.
type domain struct {
	rng    *rand.Rand
	serial int
	// departures counts the entries and agents that have left.
	departures int
	entries    []model.InstanceID
	agents     []subset.Agent
}

func newDomain(seed uint64) *domain {
	d := &domain{rng: rand.New(rand.NewPCG(seed, 3))}
	for range domainEntries {
		d.addEntry()
	}
	for range domainAgents {
		d.addAgent()
	}
	return d
}

func (d *domain) newID(kind string) model.InstanceID {
	d.serial++
	return model.InstanceID(kind + strconv.Itoa(d.serial))
}

func (d *domain) addEntry() { d.entries = append(d.entries, d.newID("entry-")) }

func (d *domain) addAgent() {
	x, pool := d.rng.Float64(), pools[0].name
	for _, p := range pools {
		pool = p.name
		if x -= p.share; x < 0 {
			break
		}
	}
	d.agents = append(d.agents, subset.Agent{ID: d.newID("agent-"), Pool: pool})
}

// applyChange makes one membership change: a random entry or agent leaves, or one
// of the same kind joins after that. Entries are replaced in proportion to their
// number. It returns the number of connections that agents lose to a leaving
// entry.
func (d *domain) applyChange(plan subset.Plan) (lost int) {
	switch {
	case len(d.entries) < domainEntries:
		d.addEntry()
	case len(d.agents) < domainAgents:
		d.addAgent()
	case d.departures%((domainEntries+domainAgents)/domainEntries) == 0:
		d.departures++
		i := d.rng.IntN(len(d.entries))
		lost = len(plan.Agents(d.entries[i]))
		d.entries = slices.Delete(d.entries, i, i+1)
	default:
		d.departures++
		i := d.rng.IntN(len(d.agents))
		d.agents = slices.Delete(d.agents, i, i+1)
	}
	return lost
}

// assignByPosition is the baseline: it assigns entries to agents by their
// positions in the lists, so a change shifts the connections of all that follow.
func (d *domain) assignByPosition() map[[2]model.InstanceID]bool {
	pairs := make(map[[2]model.InstanceID]bool)
	for i, a := range d.agents {
		for k := range subset.DefaultMinPerAgent {
			pairs[[2]model.InstanceID{d.entries[(i*subset.DefaultMinPerAgent+k)%len(d.entries)], a.ID}] = true
		}
	}
	return pairs
}

// measureSubsets measures the numbers of connections and how many of them move
// with a membership change.
func measureSubsets(seed uint64) []figure.Figure {
	d := newDomain(seed)
	plan := subset.Assign(subset.Config{}, d.entries, d.agents)
	baseline := d.assignByPosition()
	maxConnections, minEntries := 0, len(d.entries)
	moved, baselineMoved, lost := 0, 0, 0
	for range membershipChanges {
		old := make(map[model.InstanceID]bool)
		for _, e := range d.entries {
			old[e] = true
		}
		for _, a := range d.agents {
			old[a.ID] = true
		}
		lost += d.applyChange(plan)
		next := subset.Assign(subset.Config{}, d.entries, d.agents)
		moved += next.CountMoved(plan, func(id model.InstanceID) bool { return !old[id] })
		plan = next
		nextBaseline := d.assignByPosition()
		for pair := range nextBaseline {
			if !baseline[pair] && old[pair[0]] && old[pair[1]] {
				baselineMoved++
			}
		}
		baseline = nextBaseline
		entryCounts := make(map[model.InstanceID]int)
		for _, e := range d.entries {
			maxConnections = max(maxConnections, len(plan.Agents(e)))
			for _, a := range plan.Agents(e) {
				entryCounts[a]++
			}
		}
		for _, a := range d.agents {
			minEntries = min(minEntries, entryCounts[a.ID])
		}
	}
	perChange := func(n int) float64 { return float64(n) / membershipChanges }
	return []figure.Figure{
		{Name: "subset_connections_per_entry_max", Value: float64(maxConnections), Unit: "connections", Bound: figure.AtMost(subset.DefaultMaxPerEntry)},
		{Name: "subset_entries_per_agent_min", Value: float64(minEntries), Unit: "entries", Bound: figure.AtLeast(subset.DefaultMinPerAgent)},
		fleet.WithBaseline(figure.Figure{Name: "subset_moved_per_change", Value: perChange(moved), Unit: "connections", Bound: figure.AtMost(maxMovedPerChange)}, perChange(baselineMoved)),
		// Agents that lose an entry need another one, so this part of the moved
		// connections cannot be avoided.
		{Name: "subset_lost_per_change", Value: perChange(lost), Unit: "connections"},
	}
}

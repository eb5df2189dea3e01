package subset_test

import (
	"fmt"
	"math/rand/v2"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/auburnbend/auburnbend/lib/model"
	"github.com/auburnbend/auburnbend/lib/subset"
)

func entryIDs(n int) []model.InstanceID {
	var out []model.InstanceID
	for i := range n {
		out = append(out, model.InstanceID(fmt.Sprint("entry-", i)))
	}
	return out
}

func agentsOf(n, pools int) []subset.Agent {
	var out []subset.Agent
	for i := range n {
		out = append(out, subset.Agent{ID: model.InstanceID(fmt.Sprint("agent-", i)), Pool: fmt.Sprint(i * i % pools)})
	}
	return out
}

// violatedGuarantee describes a guarantee that the plan violates, or returns an
// empty string.
func violatedGuarantee(plan subset.Plan, entries []model.InstanceID, agents []subset.Agent) string {
	reached := make(map[model.InstanceID]int)
	poolOf := make(map[model.InstanceID]string)
	pools := make(map[string]bool)
	for _, a := range agents {
		poolOf[a.ID] = a.Pool
		pools[a.Pool] = true
	}
	feasible := 3*len(agents) <= subset.DefaultMaxPerEntry*(len(entries)-2)
	for _, e := range entries {
		got := plan.Agents(e)
		have := make(map[string]bool)
		for i, a := range got {
			if i > 0 && got[i-1] == a {
				return fmt.Sprintf("entry %s is connected to %s twice", e, a)
			}
			reached[a]++
			have[poolOf[a]] = true
		}
		if len(have) != len(pools) {
			return fmt.Sprintf("entry %s is connected to %d of %d pools", e, len(have), len(pools))
		}
		if feasible && len(got) > subset.DefaultMaxPerEntry {
			return fmt.Sprintf("entry %s has %d connections", e, len(got))
		}
	}
	for _, a := range agents {
		if reached[a.ID] < min(3, len(entries)) {
			return fmt.Sprintf("%d of %d entries are connected to agent %s", reached[a.ID], len(entries), a.ID)
		}
	}
	return ""
}

var _ = Describe("Assign", func() {
	It("connects all entries to all agents in small deployments", func() {
		plan := subset.Assign(subset.Config{}, entryIDs(8), agentsOf(30, 3))
		Expect(plan.Connections()).To(Equal(8 * 30))
	})

	It("meets its guarantees for all sizes, independent of the input order", func() {
		// Guards against agents with too few entries, entries without an agent of
		// some pool, and processes that compute different connections.
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			entries := entryIDs(rapid.IntRange(1, 30).Draw(t, "entries"))
			pools := rapid.IntRange(1, 4).Draw(t, "pools")
			agents := agentsOf(rapid.IntRange(1, 20*len(entries)).Draw(t, "agents"), pools)
			plan := subset.Assign(subset.Config{}, entries, agents)
			rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
			rng.Shuffle(len(agents), func(i, j int) { agents[i], agents[j] = agents[j], agents[i] })
			rng.Shuffle(len(entries), func(i, j int) { entries[i], entries[j] = entries[j], entries[i] })
			again := subset.Assign(subset.Config{}, entries, agents)
			for _, e := range entries {
				if fmt.Sprint(plan.Agents(e)) != fmt.Sprint(again.Agents(e)) {
					t.Fatalf("connections of entry %s depend on the input order", e)
				}
			}
			if violation := violatedGuarantee(plan, entries, agents); violation != "" {
				t.Fatal(violation)
			}
		})
	})

	It("meets its guarantees at the design size with a small pool and lost entries", func() {
		// A full entry has to drop an agent to connect to the small pool.
		agents := agentsOf(667, 1)
		for i := range 12 {
			agents[i*50].Pool = "booking"
		}
		for n := 36; n <= 42; n++ {
			plan := subset.Assign(subset.Config{}, entryIDs(n), agents)
			Expect(violatedGuarantee(plan, entryIDs(n), agents)).To(BeEmpty(), "%d entries", n)
		}
	})
})

var _ = Describe("Spill", func() {
	It("limits the connections and covers all pools of other domains", func() {
		got := subset.Spill(subset.Config{}, "entry-1", agentsOf(200, 3))
		Expect(got).To(HaveLen(subset.DefaultSpillConnections))
		pools := make(map[string]bool)
		for _, a := range agentsOf(200, 3) {
			for _, id := range got {
				if id == a.ID {
					pools[a.Pool] = true
				}
			}
		}
		Expect(pools).To(HaveLen(2)) // i*i%3 yields two pools
	})
})

package distribute_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestSurvivorsComplete runs trackers and downloaders in simulated time with
// killed agents, corrupt chunks, stalled links, tracker failures and version
// changes. It checks that an instance never reports an incomplete or mixed set
// as complete, that all surviving instances complete, and that origin reads
// stay within the budget.
func TestSurvivorsComplete(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		domains := rapid.IntRange(1, 3).Draw(t, "domains")
		perDomain := rapid.IntRange(1, 6).Draw(t, "agents")
		trackers := rapid.IntRange(1, 2).Draw(t, "trackers")
		chunks := rapid.IntRange(1, 40).Draw(t, "chunks")
		s := newSim(rapid.Int64().Draw(t, "seed"), domains, perDomain, trackers, chunks, rapid.IntRange(0, chunks).Draw(t, "shared"))
		s.policy.Copies = rapid.IntRange(1, domains).Draw(t, "copies")
		s.corruptShare = rapid.Float64Range(0, 0.3).Draw(t, "corrupt")
		trackerless := false
		faults := rapid.SliceOfN(rapid.IntRange(0, 4), 0, 12).Draw(t, "faults")
		changes := 0
		for _, kind := range faults {
			pause := rapid.IntRange(1, 60).Draw(t, "pause")
			for range pause {
				if err := s.step(); err != nil {
					t.Fatal(err)
				}
			}
			a := s.agents[rapid.IntRange(0, len(s.agents)-1).Draw(t, "agent")]
			b := s.agents[rapid.IntRange(0, len(s.agents)-1).Draw(t, "peer")]
			tracker := a.domain.trackers[rapid.IntRange(0, trackers-1).Draw(t, "tracker")]
			switch kind {
			case 0: // kill an agent
				if !a.dead {
					s.kill(a)
				}
			case 1: // stall the link between two agents
				if a != b {
					s.stalled[[2]string{a.identity.Address, b.identity.Address}] = true
				}
			case 2: // stop or start a tracker
				tracker.down = !tracker.down
				trackerless = true
			case 3: // change the target version
				version := rapid.IntRange(0, 1).Draw(t, "version")
				changes++
				for _, x := range s.agents {
					if !x.dead && x.target != version {
						s.setTarget(x, version)
					}
				}
			case 4: // stall one direction between an agent and a tracker
				from, to := a.identity.Address, tracker.address
				if rapid.Bool().Draw(t, "direction") {
					from, to = to, from
				}
				s.stalled[[2]string{from, to}] = true
				trackerless = true
			}
		}
		if err := s.run(20*time.Minute, nil); err != nil {
			t.Fatal(err)
		}
		distinct := chunks
		if changes > 0 {
			distinct *= 2
		}
		// The budget is 1.2 copies per failure domain. Agents without a tracker
		// have a budget of their own, which is refilled every two minutes. An
		// agent behind a stalled link from the only holder needs a copy of its
		// own.
		budget := 12*domains*distinct/10 + 1 + s.peerFailures + len(s.stalled)*distinct
		if trackerless {
			budget += 12 * domains * distinct / 10 * int(1+s.now.Sub(s.start)/(2*time.Minute))
			budget += len(s.agents)
		}
		if used := s.originStarts - s.originWaste; used > budget {
			t.Fatalf("%d useful origin reads exceed the budget of %d", used, budget)
		}
	})
}

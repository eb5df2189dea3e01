package requestsim

import (
	"bytes"

	"github.com/auburnbend/auburnbend/lib/claim"
	"github.com/auburnbend/auburnbend/lib/model"
	"github.com/auburnbend/auburnbend/lib/outcome"
)

// check checks the invariants that hold after every action.
func (sim *simulation) check() {
	perKey := make(map[string]int)
	perSubmission := make(map[*submission]int)
	for _, r := range sim.runs {
		perSubmission[r.submission]++
		if r.submission.key != "" {
			perKey[r.submission.key]++
		}
	}
	for key, n := range perKey {
		if n > 1 {
			sim.t.Fatalf("key %s ran %d times", key, n)
		}
	}
	for i, sub := range sim.submissions {
		if n := perSubmission[sub]; !sub.kind.repeatable && n > 1 {
			sim.t.Fatalf("non-repeatable submission %d ran %d times", i, n)
		}
		if len(sub.received) > 0 && !sim.matchesRun(sub, bytes.HasPrefix) {
			sim.t.Fatalf("submission %d (%s) received bytes that are not a prefix of any one response: %q", i, sub.kind.name, sub.received)
		}
		if !sub.answered {
			continue
		}
		if sub.outcome == outcome.NotRun && perSubmission[sub] > 0 {
			sim.t.Fatalf("submission %d (%s) was reported as not_run (%s) but ran", i, sub.kind.name, sub.reason)
		}
		if sub.outcome == outcome.Completed && !sim.matchesRun(sub, bytes.Equal) {
			sim.t.Fatalf("submission %d (%s) was reported as completed but received %q", i, sub.kind.name, sub.received)
		}
	}
}

// matchesRun reports whether the received bytes match the response of a run of this
// submission, or of another submission with the same key.
func (sim *simulation) matchesRun(sub *submission, match func(response, received []byte) bool) bool {
	for _, r := range sim.runs {
		same := r.submission == sub || sub.key != "" && r.submission.key == sub.key
		if same && match(r.response, sub.received) {
			return true
		}
	}
	return false
}

// proofs returns the proofs that callers of a key were given so far.
func (sim *simulation) proofs(key string) (out []model.AttemptID) {
	for _, sub := range sim.submissions {
		if sub.key == key {
			out = append(out, sub.nextProofs...)
		}
	}
	return out
}

// checkKeysUsable removes the store's faults and claims each key once more for which
// not_run was the only outcome reported to callers. Such a key must not be refused
// forever, even if every entry that handled it is gone.
func (sim *simulation) checkKeysUsable() {
	sim.fault = nil
	sim.table.ApplyDelayed()
	last := make(map[string]*submission)
	mayHaveRun := make(map[string]bool)
	for _, sub := range sim.submissions {
		if sub.key == "" {
			continue
		}
		last[sub.key] = sub
		mayHaveRun[sub.key] = mayHaveRun[sub.key] || !sub.answered || sub.outcome != outcome.NotRun
	}
	for _, sub := range sim.submissions {
		if sub.key == "" || mayHaveRun[sub.key] || last[sub.key] != sub {
			continue
		}
		decision := newLedger(sim).Claim(sim.ctx, sim.now, sub.claimKey(), claim.Intent{
			Attempt: model.AttemptID("final-" + sub.key), Fingerprint: sub.fingerprint(), Proofs: sim.proofs(sub.key),
		})
		if decision.Status != claim.StatusHeld {
			sim.t.Fatalf("key %s is refused with %s although only not_run was reported for it", sub.key, decision.Status)
		}
	}
}

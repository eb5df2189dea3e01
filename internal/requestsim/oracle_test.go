package requestsim

import (
	"bytes"

	"github.com/auburnbend/auburnbend/lib/claim"
	"github.com/auburnbend/auburnbend/lib/model"
	"github.com/auburnbend/auburnbend/lib/outcome"
)

// check states what must hold at any moment.
func (w *world) check() {
	perKey := make(map[string]int)
	perAsk := make(map[*ask]int)
	for _, r := range w.runs {
		perAsk[r.ask]++
		if r.ask.key != "" {
			perKey[r.ask.key]++
		}
	}
	for key, n := range perKey {
		if n > 1 {
			w.t.Fatalf("key %s ran %d times", key, n)
		}
	}
	for i, a := range w.asks {
		if n := perAsk[a]; !a.kind.repeatable && n > 1 {
			w.t.Fatalf("non-repeatable ask %d ran %d times", i, n)
		}
		if len(a.received) > 0 && !w.answered(a, bytes.HasPrefix) {
			w.t.Fatalf("ask %d (%s) has bytes of several answers: %q", i, a.kind.name, a.received)
		}
		if !a.told {
			continue
		}
		if a.outcome == outcome.NotRun && perAsk[a] > 0 {
			w.t.Fatalf("ask %d (%s) was told not_run (%s) and ran", i, a.kind.name, a.reason)
		}
		if a.outcome == outcome.Completed && !w.answered(a, bytes.Equal) {
			w.t.Fatalf("ask %d (%s) was told completed and has %q", i, a.kind.name, a.received)
		}
	}
}

// answered reports whether what the ask holds matches the answer of one run of
// its own request.
func (w *world) answered(a *ask, match func(text, received []byte) bool) bool {
	for _, r := range w.runs {
		same := r.ask == a || a.key != "" && r.ask.key == a.key
		if same && match(r.text, a.received) {
			return true
		}
	}
	return false
}

// proofs returns what the caller of a key was given so far.
func (w *world) proofs(key string) (out []model.AttemptID) {
	for _, a := range w.asks {
		if a.key == key {
			out = append(out, a.next...)
		}
	}
	return out
}

// checkKeysUsable heals the store and asks once more for each key whose callers
// were all told not_run. Such a key must not be refused for ever, even when
// every entry that handled it is gone.
func (w *world) checkKeysUsable() {
	w.fault = nil
	w.table.ApplyDelayed()
	last := make(map[string]*ask)
	open := make(map[string]bool)
	for _, a := range w.asks {
		if a.key == "" {
			continue
		}
		last[a.key] = a
		open[a.key] = open[a.key] || !a.told || a.outcome != outcome.NotRun
	}
	for _, a := range w.asks {
		if a.key == "" || open[a.key] || last[a.key] != a {
			continue
		}
		got := newLedger(w).Claim(w.ctx, w.now, a.claimKey(), claim.Intent{
			Attempt: model.AttemptID("final-" + a.key), Fingerprint: a.fingerprint(), Proofs: w.proofs(a.key),
		})
		if got.Status != claim.StatusHeld {
			w.t.Fatalf("key %s was only told not_run and is refused: %s", a.key, got.Status)
		}
	}
}

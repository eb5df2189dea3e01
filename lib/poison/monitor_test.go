package poison

import (
	"flag"
	"fmt"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/auburnbend/auburnbend/lib/model"
	"github.com/auburnbend/auburnbend/lib/outcome"
	"github.com/auburnbend/auburnbend/lib/wire"
)

func TestPoison(t *testing.T) {
	if f := flag.Lookup("rapid.seed"); f.Value.String() == "0" {
		_ = flag.Set("rapid.seed", "20261204")
	}
	_ = flag.Set("rapid.nofailfile", "true")
	RegisterFailHandler(Fail)
	RunSpecs(t, "poison")
}

func fp(i int) model.Fingerprint {
	return model.FingerprintOf("t", "s", []byte(fmt.Sprint(i)))
}

func report(incarnation uint64, contents ...int) wire.CrashReport {
	r := wire.CrashReport{Incarnation: incarnation}
	for _, f := range contents {
		r.InFlight = append(r.InFlight, fp(f))
	}
	return r
}

// state is the state that two monitors must agree on after the same updates.
func (m *Monitor) state() map[model.Fingerprint]string {
	out := make(map[model.Fingerprint]string)
	for f, s := range m.suspects {
		var lines []string
		for id, in := range s.incidents {
			lines = append(lines, fmt.Sprint(id, in.cleared))
		}
		for id, r := range s.runs {
			lines = append(lines, fmt.Sprint(id, r.sequence, r.planned, r.running))
		}
		slices.Sort(lines)
		out[f] = fmt.Sprint(lines)
	}
	return out
}

var _ = Describe("Monitor", func() {
	now := time.Unix(1_800_000_000, 0)
	settled := now.Add(defaultSettle)

	// Guards against entries with different views after updates that cross, are lost
	// and sent again, or arrive twice.
	It("merges updates in any order and repeatedly", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			var updates []wire.SuspectUpdate
			keep := func(u *wire.SuspectUpdate) {
				if u != nil {
					updates = append(updates, *u)
				}
			}
			sources := []*Monitor{New(Config{}, "e1", 1), New(Config{}, "e2", 2), New(Config{}, "e3", 3)}
			for range 20 {
				m := sources[rapid.IntRange(0, 2).Draw(t, "entry")]
				f := rapid.IntRange(0, 2).Draw(t, "finger")
				agent := model.InstanceID(fmt.Sprint("agent", rapid.IntRange(0, 3).Draw(t, "agent")))
				switch rapid.IntRange(0, 4).Draw(t, "event") {
				case 0:
					keep(m.Crashed(now, agent, 1, report(uint64(f), f, f+1)))
				case 1:
					keep(m.Started(now, fp(f), agent))
				case 2:
					keep(m.Finished(now, fp(f), agent, outcome.Outcome(rapid.IntRange(0, 3).Draw(t, "outcome"))))
				case 3:
					keep(m.Verdict(now, fp(f), agent).Update)
				case 4:
					if len(updates) > 0 {
						keep(m.Merge(now, rapid.SampledFrom(updates).Draw(t, "update")))
					}
				}
			}
			a, b := New(Config{}, "x", 9), New(Config{}, "x", 9)
			for _, u := range updates {
				a.Merge(now, u)
			}
			for _, u := range rapid.Permutation(updates).Draw(t, "order") {
				b.Merge(now, u)
				b.Merge(now, u)
			}
			if fmt.Sprint(a.state()) != fmt.Sprint(b.state()) {
				t.Fatalf("views differ:\n%v\n%v", a.state(), b.state())
			}
		})
	})

	It("quarantines after crashes of two backend servers, until they expire", func() {
		m := New(Config{}, "e1", 1)
		m.Crashed(now, "a", 1, report(1, 7))
		m.Crashed(now, "a", 1, report(1, 7))
		m.Crashed(now, "a", 1, report(2, 7))
		Expect(m.Verdict(settled, fp(7), "b").Decision).To(Equal(Hold))
		m.Crashed(now, "b", 1, report(1, 7))
		v := m.Verdict(settled, fp(7), "c")
		Expect(v.Decision).To(Equal(Quarantined))
		Expect(m.Quarantined(settled, fp(7))).To(BeTrue())
		Expect(m.Verdict(v.Until.Add(time.Second), fp(7), "c").Decision).To(Equal(Run))
		m.Tick(v.Until.Add(time.Second))
		Expect(m.SuspectCount()).To(BeZero())
	})

	It("runs a suspect alone, on another server and in turn, and clears it on success", func() {
		m := New(Config{}, "e1", 1)
		m.Crashed(now, "a", 1, report(1, 7, 8))
		Expect(m.Verdict(now, fp(7), "a").Decision).To(Equal(RunElsewhere))
		first := m.Verdict(now, fp(7), "b")
		Expect(first.Decision).To(Equal(Hold))
		Expect(first.Update).NotTo(BeNil())
		Expect(m.Verdict(settled, fp(7), "b").Decision).To(Equal(RunAlone))
		m.Started(settled, fp(7), "b")
		Expect(m.Verdict(settled, fp(8), "b").Decision).To(Equal(RunElsewhere))
		m.Finished(settled, fp(7), "b", outcome.Completed)
		Expect(m.Verdict(settled, fp(7), "a").Decision).To(Equal(Run))
		m.Crashed(settled, "c", 1, report(1, 7))
		Expect(m.Verdict(settled, fp(7), "d").Decision).To(Equal(Hold), "a cleared crash must not count")
	})

	It("gives way to the entry with the lower name and to one that runs the suspect", func() {
		a, b := New(Config{}, "e1", 1), New(Config{}, "e2", 2)
		b.Merge(now, *a.Crashed(now, "x", 1, report(1, 7)))
		a.Merge(now, *b.Verdict(now, fp(7), "y").Update)
		b.Merge(now, *a.Verdict(now, fp(7), "y").Update)
		Expect(b.Verdict(settled, fp(7), "y").Decision).To(Equal(Hold))
		Expect(a.Verdict(settled, fp(7), "y").Decision).To(Equal(RunAlone))
		b.Merge(settled, *a.Started(settled, fp(7), "y"))
		b.Merge(settled, *a.Finished(settled, fp(7), "y", outcome.Unknown))
		Expect(b.Verdict(settled, fp(7), "z").Decision).To(Equal(Hold), "the crash report may still arrive")
		b.Merge(settled, *a.Crashed(settled, "y", 1, report(1, 7)))
		Expect(b.Verdict(settled.Add(defaultSettle), fp(7), "z").Decision).To(Equal(Quarantined))
	})

	It("holds a fingerprint whose attempt was just lost", func() {
		m := New(Config{}, "e1", 1)
		m.Started(now, fp(7), "a")
		m.Finished(now, fp(7), "a", outcome.Unknown)
		Expect(m.Verdict(now, fp(7), "b").Decision).To(Equal(Hold))
		Expect(m.Verdict(settled, fp(7), "b").Decision).To(Equal(Run))
	})

	// Guards against quarantine of popular content after two crashes with other causes,
	// and against excusing content that crashes servers only at times.
	It("lets an earlier response clear one crash", func() {
		m := New(Config{MaxKnownGood: 2}, "e1", 1)
		answer := func(f int) {
			m.Started(now, fp(f), "x")
			m.Finished(now, fp(f), "x", outcome.Completed)
		}
		answer(7)
		m.Crashed(now, "a", 1, report(1, 7))
		Expect(m.Verdict(now, fp(7), "z").Decision).To(Equal(Run))
		m.Crashed(now, "b", 1, report(1, 7))
		m.Crashed(now, "c", 1, report(1, 7))
		Expect(m.Quarantined(settled, fp(7))).To(BeTrue())
		for f := range 5 {
			answer(100 + f)
		}
		Expect(m.knownGood.credits).To(HaveLen(2))
	})

	// Guards against memory that grows with crash reports.
	It("bounds the suspects and keeps the quarantined ones", func() {
		m := New(Config{MaxSuspects: 10}, "e1", 1)
		m.Crashed(now, "a", 1, report(1, 7))
		m.Crashed(now, "b", 1, report(1, 7))
		for i := range 100 {
			m.Crashed(now.Add(time.Duration(i)), "c", 1, report(uint64(i), 1000+i))
		}
		Expect(m.SuspectCount()).To(Equal(10))
		Expect(m.Quarantined(settled, fp(7))).To(BeTrue())
	})
})

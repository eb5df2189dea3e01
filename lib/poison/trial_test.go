package poison

import (
	"fmt"
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/auburnbend/auburnbend/lib/model"
	"github.com/auburnbend/auburnbend/lib/wire"
)

var _ = Describe("A trial of a quarantined fingerprint", func() {
	const (
		subject = 1
		settle  = 100 * time.Millisecond
		apart   = time.Second
	)
	var (
		now     time.Time
		servers int
	)
	config := Config{QuarantineCrashes: 3, SoundFor: time.Minute, Settle: settle}
	newEntry := func(name string) *Monitor { return New(config, model.InstanceID(name), 1) }
	// crash ends one server after a time.
	crash := func(m *Monitor, after time.Duration) *wire.SuspectUpdate {
		servers++
		now = now.Add(after)
		return m.Crashed(now, model.InstanceID(fmt.Sprint("server-", servers)), 0, report(1, subject))
	}
	crashes := func(m *Monitor, count int, interval time.Duration) {
		for range count {
			crash(m, interval)
		}
	}
	due := func(m *Monitor) time.Duration { return m.NextTrial(now, fp(subject)).Due.Sub(now) }
	quarantined := func(m *Monitor) bool {
		return FindBlame(now, Evidence{Monitor: m, Own: []model.Fingerprint{fp(subject)}}) != nil
	}
	BeforeEach(func() { now, servers = time.Unix(1_800_000_000, 0), 0 })

	It("is due soon after servers that ended together, and later after others", func() {
		// Guards against a quarantine that stops the requests whose responses alone could lift it.
		m := newEntry("a")
		crashes(m, 2, apart)
		Expect(m.NextTrial(now, fp(subject)).Due).To(BeZero())
		crash(m, apart)
		Expect(m.NextTrial(now, fp(subject))).To(Equal(Trial{Due: now.Add(trialDelay)}))
		m = newEntry("a")
		crashes(m, 9, 10*time.Millisecond)
		Expect(m.NextTrial(now, fp(subject))).To(Equal(Trial{Due: now.Add(jointTrialDelay), Joint: true}))
	})

	It("is due soon if other ends become known after the quarantine", func() {
		// Guards against servers that count as ended alone because a request came in between.
		m := newEntry("a")
		crashes(m, 2, apart)
		crash(m, apart)
		Expect(due(m)).To(Equal(trialDelay))
		for i := range 6 {
			now = now.Add(10 * time.Millisecond)
			m.Crashed(now, model.InstanceID(fmt.Sprint("other-", i)), 0, report(1, subject+1))
		}
		now = now.Add(settle)
		Expect(m.NextTrial(now, fp(subject)).Joint).To(BeTrue())
	})

	It("lifts the quarantine with its response", func() {
		m := newEntry("a")
		crashes(m, 9, 0)
		now = now.Add(time.Second)
		_, planned := m.PlanTrial(now, fp(subject))
		Expect(planned).To(BeTrue())
		now = now.Add(settle)
		_, begun := m.BeginTrial(now, fp(subject))
		Expect(begun).To(BeTrue())
		Expect(quarantined(m)).To(BeTrue())
		m.Answered(now, fp(subject))
		m.EndTrial(now, fp(subject), false)
		Expect(quarantined(m)).To(BeFalse())
	})

	DescribeTable("comes less often after each one that crashes a server",
		// Guards against servers that are lost to trials one after the other.
		func(interval time.Duration, expected ...time.Duration) {
			m := newEntry("a")
			crashes(m, 3, interval)
			for _, delay := range expected {
				Expect(due(m)).To(Equal(delay))
				crash(m, delay+trialJitter)
			}
			Expect(m.NextTrial(now, fp(subject)).Due).To(BeZero())
		},
		Entry("servers that ended one after the other", apart, 10*time.Second, 100*time.Second),
		Entry("servers that ended together", time.Duration(0), jointTrialDelay, 10*time.Second, 100*time.Second),
	)

	It("comes soon after each crash of all servers, however many there are", func() {
		// Guards against crashes with another cause that count as failed trials.
		m := newEntry("a")
		for range 10 {
			now = now.Add(3 * time.Second)
			crashes(m, 9, 0)
			Expect(due(m)).To(Equal(jointTrialDelay))
		}
	})

	It("is not taken for failed if servers crash that still run earlier requests", func() {
		// Guards against a long quarantine after crashes of single servers in quick succession.
		m := newEntry("a")
		crashes(m, 12, apart)
		Expect(due(m)).To(Equal(trialDelay))
	})

	It("is known to have failed after any number of crashes", func() {
		m := newEntry("a")
		crashes(m, 3*maxIncidents, 0)
		crash(m, time.Second)
		Expect(due(m)).To(Equal(trialDelay))
	})

	It("waits until it is known whether the server of the last one crashed", func() {
		m := newEntry("a")
		crashes(m, 3, 0)
		now = now.Add(time.Second)
		m.PlanTrial(now, fp(subject))
		m.BeginTrial(now.Add(settle), fp(subject))
		m.EndTrial(now.Add(settle), fp(subject), true)
		_, planned := m.PlanTrial(now.Add(time.Second), fp(subject))
		Expect(planned).To(BeFalse())
		_, planned = m.PlanTrial(now.Add(settle+defaultLostHold), fp(subject))
		Expect(planned).To(BeTrue())
	})

	DescribeTable("is one for all entries",
		// Guards against a trial at each entry: all of them have callers with the same part.
		func(loss float64, most int) {
			const entries = 8
			random := rand.New(rand.NewPCG(63, 63))
			for range 200 {
				now, servers = time.Unix(1_800_000_000, 0), 0
				var all []*Monitor
				for i := range entries {
					all = append(all, newEntry(fmt.Sprint("entry-", i)))
				}
				notify := func(from *Monitor, update *wire.SuspectUpdate) {
					if update == nil {
						return
					}
					for _, to := range all {
						if to != from && random.Float64() >= loss {
							to.Merge(now, *update)
						}
					}
				}
				for range 3 {
					update := crash(all[0], apart)
					for _, m := range all[1:] {
						m.Merge(now, *update)
					}
				}
				begins := make(map[*Monitor]time.Time)
				trials := 0
				for end := now.Add(trialDelay + 2*trialJitter); now.Before(end); now = now.Add(5 * time.Millisecond) {
					for _, i := range random.Perm(entries) {
						m := all[i]
						if at, planned := begins[m]; planned && !now.Before(at) {
							delete(begins, m)
							update, begun := m.BeginTrial(now, fp(subject))
							notify(m, update)
							if begun {
								trials++
								notify(m, crash(m, 0))
								notify(m, m.EndTrial(now, fp(subject), true))
							}
							continue
						}
						if update, planned := m.PlanTrial(now, fp(subject)); planned {
							begins[m] = now.Add(settle)
							notify(m, update)
						}
					}
				}
				Expect(trials).To(And(BeNumerically(">=", 1), BeNumerically("<=", most)))
			}
		},
		Entry("that hear of each other", 0.0, 1),
		Entry("that miss a third of the news", 1.0/3, 3),
		Entry("that hear nothing of each other", 1.0, 8),
	)
})

package dispatch

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/auburnbend/auburnbend/entry/fleet"
	"github.com/auburnbend/auburnbend/lib/admit"
	"github.com/auburnbend/auburnbend/lib/clock"
	"github.com/auburnbend/auburnbend/lib/config"
	"github.com/auburnbend/auburnbend/lib/eventlog"
	"github.com/auburnbend/auburnbend/lib/model"
)

// slotReserver accepts a number of requests.
type slotReserver struct{ free int }

func (s *slotReserver) Reserve(*fleet.Requirements) (*fleet.Slot, error) {
	if s.free == 0 {
		return nil, fleet.ErrNoInstance
	}
	s.free--
	return &fleet.Slot{}, nil
}

func (*slotReserver) WithdrawSuspect(model.Fingerprint) {}

var _ = Describe("Queues under overload", func() {
	// refused returns the share of refused requests of two classes with the given priorities,
	// of which the queue serves the higher one ratio times as much for each step of priority,
	// while 67 requests a second come to a pool that starts 29.
	refused := func(ratio float64, urgent, other int, gated bool) (float64, float64) {
		now := clock.NewFake(time.Unix(1000, 0))
		slots := &slotReserver{}
		a := newAdmission(admit.Config{PriorityRatio: ratio}, now, eventlog.Discard(), slots)
		a.setTenants([]config.Tenant{{Name: "t", Share: 1}})
		if gated {
			a.setClasses([]config.Class{{Name: "urgent", Priority: urgent}, {Name: "other", Priority: other}})
		}
		var sent, lost [2]int
		var open []*waiter
		classes := map[*waiter]int{}
		for step := range 6000 {
			now.Advance(5 * time.Millisecond)
			if step%7 == 0 {
				slots.free = 1
			}
			if step%3 == 0 {
				class := step % 2
				sent[class]++
				w := &waiter{id: model.RequestID(fmt.Sprint(step)), pool: "p", result: make(chan admissionResult, 1), deadline: now.Now().Add(6 * time.Second)}
				r := admit.Request{
					ID: w.id, Tenant: "t", Class: model.Class([]string{"urgent", "other"}[class]), Priority: []int{urgent, other}[class], Tokens: 100,
					StartBy: now.Now().Add(time.Second),
				}
				if refusal, ok := a.enqueue(w, r); !ok {
					Expect(refusal.RetryAfter).To(BeNumerically(">", 0))
					lost[class]++
				} else {
					a.waiters[w.id] = w
					classes[w] = class
					open = append(open, w)
				}
			}
			a.placePool("p")
			slots.free = 0
			for len(open) > 0 && len(open[0].result) > 0 {
				if res := <-open[0].result; res.slot == nil {
					lost[classes[open[0]]]++
				}
				open = open[1:]
			}
		}
		return float64(lost[0]) / float64(sent[0]), float64(lost[1]) / float64(sent[1])
	}

	It("refuse the less urgent class first", func() {
		// Guards against refusals of urgent requests while others are queued.
		urgent, other := refused(1.2, 2, 1, true)
		Expect(urgent).To(BeNumerically("<", other/2))
		Expect(other).To(BeNumerically("<", 0.9))
		before, _ := refused(1.2, 2, 1, false)
		Expect(urgent).To(BeNumerically("<", 0.8*before))
		// With this ratio, the part of the less urgent class that the queue alone admits is below
		// half of that of all requests, so that the gate does not reduce it further.
		urgent, other = refused(4, 2, 1, true)
		Expect(urgent).To(BeNumerically("<", other/2))
		Expect(other).To(BeNumerically("<", 0.9))
		before, _ = refused(4, 2, 1, false)
		Expect(urgent).To(BeNumerically("<=", before))
	})

	It("refuse as before where classes are equal", func() {
		// Guards against other decisions in deployments without priorities.
		a, b := refused(4, 1, 1, true)
		beforeA, beforeB := refused(4, 1, 1, false)
		Expect([]float64{a, b}).To(Equal([]float64{beforeA, beforeB}))
	})
})

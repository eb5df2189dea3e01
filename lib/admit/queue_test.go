package admit_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/auburnbend/auburnbend/lib/admit"
	"github.com/auburnbend/auburnbend/lib/model"
	"github.com/auburnbend/auburnbend/lib/outcome"
)

var start = time.Unix(0, 0)

func place(admit.Request) admit.Placement { return admit.Placed }

// backlog describes a tenant and class that always have requests queued.
type backlog struct {
	tenant   model.Tenant
	class    model.Class
	priority int
	maxSize  int
}

// serve starts n requests and refills all backlogs meanwhile. After each start
// it calls each with the tokens served so far per backlog.
func serve(q *admit.Queue, seed uint64, n int, each func(served map[backlog]float64), all ...backlog) map[backlog]float64 {
	rng := rand.New(rand.NewPCG(seed, 1))
	served := make(map[backlog]float64)
	owner := make(map[model.RequestID]backlog)
	offer := func(b backlog) {
		id := model.RequestID(fmt.Sprint(len(owner)))
		owner[id] = b
		_, ok := q.Enqueue(start, admit.Request{ID: id, Tenant: b.tenant, Class: b.class, Priority: b.priority, Tokens: 1 + rng.IntN(b.maxSize)})
		Expect(ok).To(BeTrue())
	}
	for _, b := range all {
		offer(b)
		offer(b)
	}
	for range n {
		r, ok := q.Next(start, place)
		Expect(ok).To(BeTrue())
		b := owner[r.ID]
		served[b] += float64(r.Tokens)
		offer(b)
		each(served)
	}
	return served
}

var _ = Describe("Queue", func() {
	It("keeps the documented fairness bound between two tenants over all intervals", func() {
		// Guards against a large tenant starving a small one.
		for seed := range uint64(20) {
			q := admit.New(admit.Config{PriorityLead: 700, Burst: 2000})
			q.SetTenants(map[model.Tenant]admit.TenantLimits{"large": {Share: 3}, "small": {Share: 1}})
			large := backlog{"large", "interactive", 2, 4000}
			small := backlog{"small", "batch", 0, 1500}
			const meanShare = 2.0
			wi, wj := 3/meanShare, 1/meanShare
			bound := 4000/wi + 1500/wj + 2*700 + 2000
			low, high := 0.0, 0.0
			serve(q, seed, 3000, func(served map[backlog]float64) {
				d := served[large]/wi - served[small]/wj
				low, high = min(low, d), max(high, d)
			}, large, small)
			Expect(high-low).To(BeNumerically("<=", bound), "seed %d", seed)
		}
	})

	It("does not starve the lower class of a tenant", func() {
		q := admit.New(admit.Config{PriorityRatio: 4})
		high, low := backlog{"a", "interactive", 1, 1000}, backlog{"a", "batch", 0, 1000}
		served := serve(q, 1, 4000, func(map[backlog]float64) {}, high, low)
		Expect(served[high] / served[low]).To(BeNumerically("~", 4, 0.3))
	})

	It("serves a small tenant's request promptly behind another tenant's backlog", func() {
		q := admit.New(admit.Config{})
		for i := range 400 {
			q.Enqueue(start, admit.Request{ID: model.RequestID(fmt.Sprint(i)), Tenant: "large", Tokens: 1000})
		}
		for range 100 {
			q.Next(start, place)
		}
		q.Enqueue(start, admit.Request{ID: "small", Tenant: "small", Tokens: 1000})
		r, _ := q.Next(start, place)
		Expect(r.ID).To(Equal(model.RequestID("small")))
	})

	It("serves a tenant with mostly refused requests at Config.ExcessShare of its share", func() {
		// Guards against one tenant's flood taking the capacity that bursts of
		// others need, and against starving the flooding tenant.
		q := admit.New(admit.Config{TenantMaxQueued: 4})
		served := make(map[model.Tenant]int)
		id := 0
		offer := func(tenant model.Tenant) {
			id++
			q.Enqueue(start.Add(time.Duration(id)*time.Millisecond), admit.Request{ID: model.RequestID(fmt.Sprint(id)), Tenant: tenant, Tokens: 1000})
		}
		for range 4 {
			offer("steady")
		}
		for range 4000 {
			for range 5 {
				offer("flood")
			}
			r, ok := q.Next(start.Add(time.Duration(id)*time.Millisecond), place)
			Expect(ok).To(BeTrue())
			served[r.Tenant]++
			if r.Tenant == "steady" {
				offer("steady")
			}
		}
		Expect(float64(served["flood"]) / float64(served["steady"])).To(BeNumerically("~", 0.75, 0.03))
	})

	It("refuses on arrival a request that would start too late and sets RetryAfter", func() {
		q := admit.New(admit.Config{})
		now := start
		offer := func(id string, tenant model.Tenant, within time.Duration) (admit.Refusal, bool) {
			return q.Enqueue(now, admit.Request{ID: model.RequestID(id), Tenant: tenant, Tokens: 100, StartBy: now.Add(within)})
		}
		for i := range 40 {
			_, ok := offer(fmt.Sprint(i), "a", time.Minute)
			Expect(ok).To(BeTrue())
		}
		// Service rate: 10 requests of 100 tokens per second.
		for range 20 {
			now = now.Add(100 * time.Millisecond)
			q.Next(now, place)
		}
		refusal, ok := offer("late", "a", time.Second)
		Expect(ok).To(BeFalse())
		Expect(refusal.Reason).To(Equal(outcome.ReasonOverloaded))
		Expect(refusal.RetryAfter).To(BeNumerically("~", time.Second, 300*time.Millisecond))
		// Another tenant's expected wait does not depend on the queue of a.
		_, ok = offer("other", "b", time.Second)
		Expect(ok).To(BeTrue())
	})

	It("limits overtaking of a deferred request but not of a blocked one", func() {
		for _, placement := range []admit.Placement{admit.Deferred, admit.Blocked} {
			q := admit.New(admit.Config{MaxOvertake: 1000})
			q.Enqueue(start, admit.Request{ID: "first", Tenant: "a", Tokens: 100})
			for i := range 50 {
				q.Enqueue(start, admit.Request{ID: model.RequestID(fmt.Sprint(i)), Tenant: "b", Tokens: 100})
			}
			overtaken := 0
			for range 50 {
				_, ok := q.Next(start, func(r admit.Request) admit.Placement {
					if r.Tenant == "a" {
						return placement
					}
					return admit.Placed
				})
				if ok {
					overtaken++
				}
			}
			if placement == admit.Deferred {
				Expect(overtaken).To(BeNumerically("<=", 1000/100+1))
			} else {
				Expect(overtaken).To(Equal(50))
			}
		}
	})
})

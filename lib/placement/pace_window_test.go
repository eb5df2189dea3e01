package placement_test

import (
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/auburnbend/auburnbend/lib/directory"
	"github.com/auburnbend/auburnbend/lib/placement"
)

var _ = Describe("Servers with a full window", func() {
	It("get as many requests more if they would be refused otherwise", func() {
		// Guards against refusals while a recovered server is only at its window, and against
		// a flood of that server.
		now := time.Unix(1000, 0)
		d := directory.New()
		for _, id := range []string{"a", "b"} {
			d.Put(&directory.Server{ID: id, Service: "desk", Address: id, Domain: "north", Slots: 6})
		}
		p := placement.New(placement.Config{Domain: "north", Regions: map[string]string{"north": "n"}}, d, rand.New(rand.NewPCG(1, 1)))
		p.Pause(directory.Key{ID: "a"}, now.Add(2*time.Second), now)
		now = now.Add(2001 * time.Millisecond)
		p.Report(directory.Key{ID: "b"}, placement.Load{Running: 6, Queued: 60}, now)
		req := placement.Request{Service: "desk", Domain: "north", LatencyTarget: 120 * time.Millisecond}
		placed := 0
		for range 20 {
			l, refusal := p.Pick(req, now)
			if refusal != nil {
				break
			}
			Expect(l.Server.ID).To(Equal("a"))
			placed++
		}
		Expect(placed).To(Equal(2))
	})

	It("get what they are fast enough for, even if slower than predicted", func() {
		// Guards against refusals while an added engine responds within the targets, but
		// later than predicted, and against late responses of one that does not.
		for slowdown, used := range map[float64]bool{2.6: true, 12: false} {
			l := newPacedLoad(1)
			l.run(4*time.Second, streamTime/12)
			l.add("new")
			for range 6 {
				lease, refusal := l.picker.Pick(placement.Request{Service: "s", Engine: engine, Model: "m", PromptTokens: 500, Exclude: []directory.Key{{ID: "old0"}}}, l.now)
				Expect(refusal).To(BeNil())
				l.now = l.now.Add(time.Duration(slowdown * float64(lease.Predicted)))
				l.picker.FirstEvent(lease, l.now)
			}
			l.picker.Report(l.key("old0"), placement.Load{Running: engine.Slots, Queued: 30}, l.now)
			l.place()
			Expect(l.picker.ConcurrencyLimited(l.now)).To(HaveKey("s"))
			Expect(l.running["new"] == 1).To(Equal(used), "slowdown %v", slowdown)
			Expect(l.refused == 0).To(Equal(used))
		}
	})
})

var _ = Describe("The head of a response", func() {
	It("counts for predictions and failures, the first event for the limits of concurrency only", func() {
		// Guards against callers that abandon streams and so eject engines which send heads
		// at once, and against engines that pass for fast because of such heads.
		l := newPacedLoad(1)
		l.run(4*time.Second, streamTime/12)
		l.add("new")
		req := placement.Request{Service: "s", Engine: engine, Model: "m", PromptTokens: 500, Exclude: []directory.Key{l.key("old0")}}
		place := func() *placement.Lease {
			lease, refusal := l.picker.Pick(req, l.now)
			Expect(refusal).To(BeNil())
			return lease
		}
		for range 4 {
			leases := []*placement.Lease{place(), place()}
			Expect(leases[1].Usage.Prefilling).To(Equal(2))
			for _, lease := range leases {
				l.picker.ResponseStarted(lease, l.now.Add(10*time.Millisecond))
			}
			Expect(l.picker.ResponseStarted(leases[1], l.now)).To(Equal(placement.Usage{Running: 2}))
			l.now = l.now.Add(4 * time.Second)
			Expect(l.picker.ConcurrencyLimited(l.now)).To(HaveKey("s"), "heads widen no window, nor does time")
			for _, lease := range leases {
				l.picker.Done(lease, placement.Cancelled, l.now)
			}
			Expect(l.picker.Avoided("s", l.now)).To(BeEmpty())
		}
	})

	It("is not followed by a notice of the first event while nothing is limited", func() {
		// Guards against more datagrams for each request, and against a limit that begins
		// later and waits for events which nobody reports.
		l := newPacedLoad(1)
		l.run(4*time.Second, streamTime/12)
		table := placement.NewLeaseTable(l.picker)
		grant := func(n uint64) *placement.Lease {
			lease, refusal := table.Grant(placement.LeaseID{Entry: "e2", Number: n}, placement.Request{Service: "s", Engine: engine, Model: "m"}, l.now)
			Expect(refusal).To(BeNil())
			return lease
		}
		Expect(grant(1).FirstEventWanted).To(BeFalse())
		l.add("new")
		l.place()
		l.now = l.now.Add(100 * time.Millisecond)
		Expect(grant(2).FirstEventWanted).To(BeTrue())
		table.Done(placement.LeaseID{Entry: "e2", Number: 2}, placement.Answered, l.now)
		l.run(6*time.Second, streamTime/12)
		Expect(grant(3).FirstEventWanted).To(BeFalse())
	})
})

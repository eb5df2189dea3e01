package placement_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/auburnbend/auburnbend/lib/directory"
	"github.com/auburnbend/auburnbend/lib/placement"
	"github.com/auburnbend/auburnbend/lib/ratelimit"
)

var _ = Describe("Rate limits", func() {
	const limitWindow = 4 * time.Second
	start := time.Unix(1000, 0)
	key := directory.Key{ID: "limited"}

	regionNames := func(n int) map[string]string {
		regions := make(map[string]string)
		for i := range n {
			regions[fmt.Sprint("domain-", i)] = fmt.Sprint("region-", i)
		}
		return regions
	}
	newPicker := func(domain int, regions map[string]string, limit, share float64) (*placement.Picker, *directory.Directory) {
		d := directory.New()
		d.Replace([]*directory.Server{{ID: key.ID, Service: "desk", Address: "127.0.0.1:1", Domain: "domain-0", Slots: 1000}}, false, start)
		p := placement.New(placement.Config{Domain: fmt.Sprint("domain-", domain), Regions: regions}, d, rand.New(rand.NewPCG(1, 1)))
		p.SetLimitShare(share)
		p.MergeLimit(placement.ServerLimit{Server: key, Limit: ratelimit.Limit{PerSecond: limit, StatedAt: start}}, start)
		return p, d
	}

	It("hold for the sum over the placing entries of all regions", func() {
		// Guards against entries that each use the whole limit, also while the placing entry
		// of a region changes.
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			regions := regionNames(rapid.IntRange(1, 3).Draw(t, "regions"))
			limit := rapid.Float64Range(0.5, 20).Draw(t, "limit")
			var pickers []*placement.Picker
			for domain := range len(regions) {
				for _, share := range []float64{0.9, 0.1} {
					p, _ := newPicker(domain, regions, limit, share)
					pickers = append(pickers, p)
				}
			}
			now := start
			var placed []time.Time
			for range rapid.IntRange(1, 600).Draw(t, "requests") {
				now = now.Add(time.Duration(rapid.IntRange(0, 60).Draw(t, "ms")) * time.Millisecond)
				p := pickers[rapid.IntRange(0, len(pickers)-1).Draw(t, "entry")]
				lease, refusal := p.Pick(placement.Request{Service: "desk"}, now)
				if refusal != nil {
					if refusal.Reason != placement.Limited || refusal.RetryAfter <= 0 {
						t.Fatalf("refusal %+v", refusal)
					}
					continue
				}
				p.Done(lease, placement.Rejected, now)
				placed = append(placed, now)
				for now.Sub(placed[0]) > limitWindow {
					placed = placed[1:]
				}
				if float64(len(placed)) > 1.5*limit*limitWindow.Seconds()+5 {
					t.Fatalf("%d requests in %v, limit %.2f/s", len(placed), limitWindow, limit)
				}
			}
		})
	})

	It("leave a limited server at once for another one and return when the limit is lifted", func() {
		p, d := newPicker(0, regionNames(1), 2, 1)
		d.Put(&directory.Server{ID: "free", Service: "desk", Address: "127.0.0.1:2", Domain: "domain-0", Slots: 1000})
		counts := make(map[string]int)
		now := start
		pickFor := func(duration time.Duration) {
			for end := now.Add(duration); now.Before(end); now = now.Add(10 * time.Millisecond) {
				lease, refusal := p.Pick(placement.Request{Service: "desk"}, now)
				Expect(refusal).To(BeNil())
				counts[lease.Server.ID]++
				p.Done(lease, placement.Rejected, now)
			}
		}
		pickFor(4 * time.Second)
		Expect(counts["limited"]).To(BeNumerically("<=", 9))
		Expect(p.ObserveLimit(key, ratelimit.Statement{Known: true}, now, now)).To(BeTrue())
		clear(counts)
		pickFor(4 * time.Second)
		Expect(counts["limited"]).To(BeNumerically(">", 50))
	})

	It("tell refused callers to return one after another", func() {
		// Guards against callers that all return at the same moment and are refused again.
		p, _ := newPicker(0, regionNames(1), 2, 1)
		req := placement.Request{Service: "desk", Remaining: 6 * time.Second}
		now := start
		_, refusal := p.Pick(req, now)
		Expect(refusal).To(BeNil())
		for i := range 4 {
			_, refusal := p.Pick(req, now)
			Expect(refusal.Reason).To(Equal(placement.Limited))
			Expect(refusal.RetryAfter).To(Equal(time.Duration(i+1) * 500 * time.Millisecond))
			Expect(refusal.ExcludedServers).To(Equal([]string{"limited: limited to 2/s"}))
		}
		for range 3 {
			// The next slot is later than the caller will wait; it is not booked.
			_, refusal := p.Pick(req, now)
			Expect(refusal.RetryAfter).To(Equal(2500 * time.Millisecond))
		}
		_, refusal = p.Pick(req, now.Add(500*time.Millisecond))
		Expect(refusal).To(BeNil())
	})

	It("count the requests that were placed before the limit was named", func() {
		// Guards against a server that gets its limit on top of what it has just been sent.
		regions := regionNames(1)
		d := directory.New()
		d.Replace([]*directory.Server{{ID: key.ID, Service: "desk", Address: "127.0.0.1:1", Domain: "domain-0", Slots: 1000}}, false, start)
		p := placement.New(placement.Config{Domain: "domain-0", Regions: regions}, d, rand.New(rand.NewPCG(1, 1)))
		now := start
		var placed []time.Time
		pick := func() {
			if lease, refusal := p.Pick(placement.Request{Service: "desk"}, now); refusal == nil {
				p.Done(lease, placement.Rejected, now)
				placed = append(placed, now)
			}
		}
		for range 40 {
			now = now.Add(100 * time.Millisecond)
			pick()
		}
		named := now
		p.MergeLimit(placement.ServerLimit{Server: key, Limit: ratelimit.Limit{PerSecond: 1, StatedAt: now}}, now)
		for range 1000 {
			now = now.Add(10 * time.Millisecond)
			pick()
		}
		early, late := 0, 0
		for _, at := range placed {
			if at.After(named) && at.Before(named.Add(3*time.Second)) {
				early++
			}
			if at.After(named.Add(6 * time.Second)) {
				late++
			}
		}
		Expect(early).To(BeZero())
		Expect(late).To(BeNumerically("~", 4, 1))
	})

	It("are not used by an entry without a share", func() {
		p, _ := newPicker(0, regionNames(1), 2, 0)
		for i := range 100 {
			_, refusal := p.Pick(placement.Request{Service: "desk"}, start.Add(time.Duration(i)*time.Second))
			Expect(refusal.Reason).To(Equal(placement.Limited))
			Expect(refusal.RetryAfter).To(BeNumerically(">", 0))
		}
	})

	It("end with the incarnation of the server", func() {
		p, d := newPicker(0, regionNames(1), 2, 0)
		d.Put(&directory.Server{ID: key.ID, StartUnixMilli: 7, Service: "desk", Address: "127.0.0.1:1", Domain: "domain-0", Slots: 6})
		_, refusal := p.Pick(placement.Request{Service: "desk"}, start)
		Expect(refusal).To(BeNil())
	})
})

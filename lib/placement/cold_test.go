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

var _ = Describe("Cold servers", func() {
	start := time.Unix(1000, 0)
	const coldTime = 3 * time.Second
	regions := map[string]string{"domain-0": "region-0", "domain-1": "region-1", "domain-2": "region-2"}

	newPicker := func(domain int, share float64) (*placement.Picker, *directory.Directory) {
		d := directory.New()
		p := placement.New(placement.Config{Domain: fmt.Sprint("domain-", domain), Regions: regions}, d, rand.New(rand.NewPCG(1, 1)))
		p.SetLimitShare(share)
		return p, d
	}
	listing := func(revision int64, coldTime time.Duration) *directory.Server {
		return &directory.Server{ID: "cold", Service: "desk", Address: "127.0.0.1:1", Domain: "domain-0", Slots: 1000, Revision: revision, ColdTime: coldTime}
	}
	request := func(perSecond float64) placement.Request {
		return placement.Request{Service: "desk", ColdPerSecond: perSecond}
	}

	It("get what they tolerate from the placing entries of all regions together", func() {
		// Guards against entries that each send what a cold server tolerates, whether it has
		// started or become cold under load.
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			rate := rapid.Float64Range(2, 30).Draw(t, "rate")
			limit := 1.5*rate + 5
			var pickers []*placement.Picker
			now := start
			for domain := range len(regions) {
				for _, share := range []float64{0.9, 0.1} {
					p, d := newPicker(domain, share)
					d.Put(listing(1, 0))
					pickers = append(pickers, p)
					for range rapid.IntRange(0, 40).Draw(t, "before") {
						lease, _ := p.Pick(request(rate), now)
						p.Done(lease, placement.Answered, now)
					}
					d.Put(listing(2, coldTime))
					p.ObserveCold(now)
				}
			}
			var placed []time.Time
			for range rapid.IntRange(1, 600).Draw(t, "requests") {
				now = now.Add(time.Duration(rapid.IntRange(0, 20).Draw(t, "ms")) * time.Millisecond)
				if now.Sub(start) >= coldTime {
					return
				}
				p := pickers[rapid.IntRange(0, len(pickers)-1).Draw(t, "entry")]
				lease, refusal := p.Pick(request(rate), now)
				if refusal != nil {
					if refusal.Reason != placement.Limited || refusal.RetryAfter <= 0 {
						t.Fatalf("refusal %+v", refusal)
					}
					continue
				}
				p.Done(lease, placement.Answered, now)
				placed = append(placed, now)
				for now.Sub(placed[0]) > time.Second {
					placed = placed[1:]
				}
				if float64(len(placed)) > limit {
					t.Fatalf("%d requests in a second, %g tolerated", len(placed), rate)
				}
			}
		})
	})

	It("are warm when their time is over or their row says so", func() {
		// Guards against a time that starts anew with each read of the same row.
		p, d := newPicker(0, 0.9)
		d.Put(listing(1, coldTime))
		p.ObserveCold(start)
		p.ObserveCold(start.Add(2 * time.Second))
		key := directory.Key{ID: "cold"}
		Expect(p.Condition(d.Get(key), start.Add(coldTime-time.Millisecond))).To(Equal(placement.Cold))
		Expect(p.HasCold("desk", start)).To(BeTrue())
		Expect(p.Condition(d.Get(key), start.Add(coldTime))).To(Equal(placement.Open))
		Expect(p.HasCold("desk", start.Add(coldTime))).To(BeFalse())
		d.Put(listing(2, coldTime))
		p.ObserveCold(start.Add(10 * time.Second))
		Expect(p.HasCold("desk", start.Add(11*time.Second))).To(BeTrue())
		d.Put(listing(3, 0))
		p.ObserveCold(start.Add(11 * time.Second))
		Expect(p.HasCold("desk", start.Add(11*time.Second))).To(BeFalse())
	})

	It("are not limited where the service declares no limit, and keep to a lower one that they name", func() {
		p, d := newPicker(0, 1)
		d.Put(listing(1, coldTime))
		p.ObserveCold(start)
		for range 20 {
			_, refusal := p.Pick(request(0), start)
			Expect(refusal).To(BeNil())
		}
		count := func(p *placement.Picker) int {
			n := 0
			for i := range 200 {
				if lease, _ := p.Pick(request(20), start.Add(time.Duration(i)*10*time.Millisecond)); lease != nil {
					n++
				}
			}
			return n
		}
		p, d = newPicker(0, 1)
		d.Put(listing(1, coldTime))
		p.ObserveCold(start)
		p.MergeLimit(placement.ServerLimit{Server: directory.Key{ID: "cold"}, Limit: ratelimit.Limit{PerSecond: 2, StatedAt: start}}, start)
		Expect(count(p)).To(BeNumerically("<=", 5))
		p, d = newPicker(0, 1)
		d.Put(listing(1, coldTime))
		p.ObserveCold(start)
		Expect(count(p)).To(And(BeNumerically(">", 20), BeNumerically("<=", 30)))
	})

	It("stay cold if a restored store gives out the revision of their row again", func() {
		// Guards against a server that gets more than it tolerates because its row has a revision
		// that a lost row had.
		p, d := newPicker(0, 1)
		observe := func(revision int64, coldTime time.Duration) bool {
			d.Put(listing(revision, coldTime))
			p.ObserveCold(start)
			return p.HasCold("desk", start)
		}
		Expect(observe(7, 0)).To(BeFalse())
		Expect(observe(9, time.Nanosecond)).To(BeTrue())
		Expect(observe(9, coldTime)).To(BeTrue())
		Expect(p.HasCold("desk", start.Add(coldTime-1))).To(BeTrue())
	})
})

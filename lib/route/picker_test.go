package route_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/auburnbend/auburnbend/lib/model"
	"github.com/auburnbend/auburnbend/lib/route"
)

// shares picks instances for n requests that all stay outstanding and returns
// the number of picks per instance.
func shares(p *route.Picker, now time.Time, r *route.Request, n int) map[model.InstanceID]int {
	counts := make(map[model.InstanceID]int)
	for range n {
		c, err := p.Pick(now, r)
		Expect(err).NotTo(HaveOccurred())
		p.Started(now, c.Key, r.Prefix)
		counts[c.Key.Instance]++
	}
	return counts
}

var _ = Describe("Picker", func() {
	request := func() *route.Request { return &route.Request{Pool: "model", Weights: oldWeights} }

	It("starts new instances and instances with new weights slowly", func() {
		// Guards against giving an instance with a cold cache its full share of the
		// load at once.
		p := newPicker(route.Config{})
		for _, id := range []string{"a", "b", "c"} {
			p.Update(start, instance(id, oldWeights))
		}
		later := start.Add(time.Minute)
		p.Update(later, instance("d", oldWeights))
		Expect(shares(p, later, request(), 60)["d"]).To(BeNumerically("<", 6))
		p.Update(later, instance("a", oldWeights, newWeights))
		Expect(shares(p, later, request(), 30)["a"]).To(BeZero())
	})

	It("reduces the weight of a report with its age and does not count its own requests twice", func() {
		p := newPicker(route.Config{})
		for _, id := range []string{"a", "b"} {
			p.Update(start, instance(id, oldWeights))
		}
		now := start.Add(time.Minute)
		counts := shares(p, now, request(), 20)
		Expect(counts["a"]).To(Equal(10))
		// Both report exactly the requests that this entry sent, none of others.
		now = now.Add(time.Second)
		p.RecordLoad(now, keyOf("a"), route.LoadReport{Running: 10})
		p.RecordLoad(now, keyOf("b"), route.LoadReport{Running: 10})
		Expect(shares(p, now, request(), 10)["a"]).To(Equal(5))
		// a has 20 requests of other entries; after 30 s the report has little
		// weight.
		p.RecordLoad(now, keyOf("a"), route.LoadReport{Running: 35})
		Expect(shares(p, now, request(), 10)["a"]).To(BeZero())
		now = now.Add(30 * time.Second)
		Expect(shares(p, now, request(), 20)["a"]).To(BeNumerically(">", 10))
	})

	It("uses an instance without a fresh report only if there is no other", func() {
		// Guards against sending requests to a leaving instance whose drain notice
		// was lost.
		p := newPicker(route.Config{})
		p.Update(start, instance("a", oldWeights))
		p.Update(start, instance("b", oldWeights))
		p.RecordLoad(start, keyOf("a"), route.LoadReport{})
		p.RecordLoad(start.Add(2*time.Second), keyOf("b"), route.LoadReport{Running: 12})
		Expect(shares(p, start.Add(3100*time.Millisecond), request(), 5)).To(Equal(map[model.InstanceID]int{"b": 5}))
		Expect(shares(p, start.Add(time.Minute), request(), 40)).To(HaveLen(2))
	})

	It("sends equal prefixes to one instance until it exceeds the load bound", func() {
		p := newPicker(route.Config{AffinityBonus: 0.5, CacheBonus: 0.5})
		for i := range 10 {
			p.Update(start, instance(fmt.Sprint("i", i), oldWeights))
		}
		now := start.Add(time.Minute)
		r := request()
		r.Prefix, r.AffinityBlocks = []uint64{7, 8}, 2
		first, _ := p.Pick(now, r)
		p.Started(now, first.Key, r.Prefix)
		again, _ := p.Pick(now, r)
		Expect(again.Key).To(Equal(first.Key))
		Expect(again.CachedBlocks).To(Equal(2))
		Expect(len(shares(p, now, r, 60))).To(BeNumerically(">", 1))
	})

	It("requests a snapshot after a gap in the cache events and drops the hints", func() {
		p := newPicker(route.Config{})
		p.Update(start, instance("a", oldWeights))
		r := request()
		r.Prefix, r.AffinityBlocks = []uint64{7, 8}, 2
		cached := func(now time.Time) int {
			c, err := p.Pick(now, r)
			Expect(err).NotTo(HaveOccurred())
			return c.CachedBlocks
		}
		Expect(p.ApplyCacheEvent(start, keyOf("a"), route.CacheEvent{Sequence: 1, Stored: []uint64{7, 8}})).To(BeFalse())
		Expect(cached(start)).To(Equal(2))
		Expect(p.ApplyCacheEvent(start, keyOf("a"), route.CacheEvent{Sequence: 3, Stored: []uint64{9}})).To(BeTrue())
		Expect(cached(start)).To(BeZero())
		Expect(p.ApplyCacheEvent(start, keyOf("a"), route.CacheEvent{Sequence: 4, Stored: []uint64{7}})).To(BeTrue())
		p.ApplyCacheSnapshot(start, keyOf("a"), route.CacheSnapshot{Sequence: 4, Blocks: []uint64{7}})
		Expect(cached(start)).To(Equal(1))
		Expect(p.ApplyCacheEvent(start, keyOf("a"), route.CacheEvent{Sequence: 4, Removed: []uint64{7}})).To(BeFalse())
		Expect(cached(start)).To(Equal(1))
		Expect(cached(start.Add(3 * time.Minute))).To(BeZero())
	})

	It("spills to another failure domain only above the threshold", func() {
		p := newPicker(route.Config{DefaultCapacity: 10})
		p.Update(start, instance("near", oldWeights))
		far := instance("far", oldWeights)
		far.Location.FailureDomain = "d2"
		p.Update(start, far)
		now := start.Add(time.Minute)
		counts := shares(p, now, request(), 8)
		Expect(counts).To(Equal(map[model.InstanceID]int{"near": 8}))
		Expect(shares(p, now, request(), 4)["far"]).To(BeNumerically(">=", 3))
	})

	It("waits for a full instance with the prefix while few have free capacity", func() {
		p := newPicker(route.Config{})
		for i := range 8 {
			p.Update(start, instance(fmt.Sprint("i", i), oldWeights))
		}
		now := start.Add(time.Minute)
		r := request()
		r.Prefix, r.AffinityBlocks, r.OfferedAt = []uint64{7, 8}, 2, now
		p.Started(now, keyOf("i3"), r.Prefix)
		r.HasCapacity = func(k route.Key) bool { return k == keyOf("i5") }
		_, err := p.Pick(now, r)
		Expect(err).To(HaveOccurred())
		Expect(err.(*route.Refusal).Deferred).To(BeTrue())
		choice, err := p.Pick(now.Add(time.Second), r)
		Expect(err).NotTo(HaveOccurred())
		Expect(choice.Key).To(Equal(keyOf("i5")))
	})

	It("does not spill because all local instances are in slow start", func() {
		p := newPicker(route.Config{})
		far := instance("far", oldWeights)
		far.Location.FailureDomain = "d2"
		p.Update(start, far)
		now := start.Add(time.Minute)
		p.Update(now, instance("near", oldWeights))
		Expect(shares(p, now, request(), 8)).To(Equal(map[model.InstanceID]int{"near": 8}))
	})

	It("does not eject instances for lost connections", func() {
		// Guards against a network fault ejecting healthy backend servers.
		p := newPicker(route.Config{})
		for _, id := range []string{"a", "b", "c", "d"} {
			p.Update(start, instance(id, oldWeights))
		}
		for range 100 {
			p.Started(start, keyOf("a"), nil)
			Expect(p.Finished(start, keyOf("a"), route.ResultNeutral)).To(BeFalse())
		}
	})

	It("readmits an ejected instance with a slow start", func() {
		p := newPicker(route.Config{})
		for _, id := range []string{"a", "b", "c", "d"} {
			p.Update(start, instance(id, oldWeights))
		}
		now := start.Add(time.Minute)
		ejected := false
		for range 5 {
			p.Started(now, keyOf("a"), nil)
			ejected = p.Finished(now, keyOf("a"), route.ResultError)
		}
		Expect(ejected).To(BeTrue())
		Expect(shares(p, now, request(), 20)).NotTo(HaveKey(model.InstanceID("a")))
		back := shares(p, now.Add(5100*time.Millisecond), request(), 20)["a"]
		Expect(back).To(BeNumerically(">", 0))
		Expect(back).To(BeNumerically("<", 8))
	})
})

package placement_test

import (
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/auburnbend/auburnbend/lib/directory"
	"github.com/auburnbend/auburnbend/lib/placement"
)

var _ = Describe("Pauses", func() {
	now := time.Unix(1000, 0)
	var d *directory.Directory
	var p *placement.Picker
	listing := func(id string, start int64) *directory.Server {
		return &directory.Server{ID: id, StartUnixMilli: start, Service: "desk", Address: id, Domain: "north", Slots: 4}
	}
	key := func(id string) directory.Key { return directory.Key{ID: id, StartUnixMilli: 1} }
	req := placement.Request{Service: "desk", Domain: "north", LatencyTarget: time.Second}
	setUp := func(servers ...string) {
		d = directory.New()
		for _, id := range servers {
			d.Put(listing(id, 1))
		}
		p = placement.New(placement.Config{Domain: "north", Regions: map[string]string{"north": "n"}}, d, rand.New(rand.NewPCG(1, 1)))
	}

	It("keep requests away until the latest end, and do not count as failures", func() {
		setUp("a", "b")
		p.Pause(key("a"), now.Add(2*time.Second), now)
		Expect(p.Pause(key("a"), now.Add(time.Second), now)).To(BeFalse())
		for range 20 {
			l, refusal := p.Pick(req, now.Add(1900*time.Millisecond))
			Expect(refusal).To(BeNil())
			Expect(l.Server.ID).To(Equal("b"))
			p.Done(l, placement.Rejected, now)
		}
		Expect(p.Condition(d.Get(key("a")), now)).To(Equal(placement.Pausing))
		Expect(p.Condition(d.Get(key("a")), now.Add(2*time.Second))).To(Equal(placement.Open))
		Expect(p.Avoided("desk", now)).To(ConsistOf(key("a")))
	})

	It("lead to refusals with the earliest end as retry delay, when all servers are paused", func() {
		// Guards against callers that retry before any server accepts requests, or all
		// together.
		setUp("a", "b")
		p.Pause(key("a"), now.Add(3*time.Second), now)
		Expect(p.RefuseIfPaused(&req, now)).To(BeNil())
		p.Pause(key("b"), now.Add(2*time.Second), now)
		Expect(p.RefuseIfPaused(&req, now)).NotTo(BeNil())
		waits := make(map[time.Duration]bool)
		for range 20 {
			_, refusal := p.Pick(req, now)
			Expect(refusal.Reason).To(Equal(placement.Paused))
			Expect(refusal.RetryAfter).To(And(BeNumerically(">=", 2*time.Second), BeNumerically("<=", 2500*time.Millisecond)))
			Expect(refusal.ExcludedServers).To(ConsistOf("a: paused for 3000 ms", "b: paused for 2000 ms"))
			waits[refusal.RetryAfter] = true
		}
		Expect(len(waits)).To(BeNumerically(">", 10))
	})

	It("are named with their rest, and drains with their age and source, for refused requests", func() {
		// Guards against refusals of which nobody can tell what kept the servers out.
		setUp("a", "b")
		d.MarkDraining(key("a"), directory.SourceAgent, now)
		p.Pause(key("b"), now.Add(2*time.Second), now)
		_, refusal := p.Pick(req, now.Add(700*time.Millisecond))
		Expect(refusal.ExcludedServers).To(ConsistOf("a: leaving for 700 ms (agent)", "b: paused for 1300 ms"))
	})

	It("do not apply to requests of other entries", func() {
		setUp("a")
		p.Pause(key("a"), now.Add(3*time.Second), now)
		other := req
		other.Entry = "entry-2"
		_, refusal := p.Pick(other, now)
		Expect(refusal).To(BeNil())
	})

	It("end with a gradual increase of load", func() {
		// Guards against a burst of requests at the end of a pause.
		setUp("a", "b")
		p.Pause(key("a"), now.Add(time.Second), now)
		at := now.Add(1500 * time.Millisecond)
		running := make(map[string]int)
		for range 12 {
			l, refusal := p.Pick(req, at)
			Expect(refusal).To(BeNil())
			running[l.Server.ID]++
		}
		Expect(running["a"]).To(Equal(2), "half of its slots after half of the ramp")
		Expect(p.Throttled(key("a"), at)).To(BeTrue())
		Expect(p.Throttled(key("a"), now.Add(2*time.Second))).To(BeFalse())
	})

	DescribeTable("end with a gradual increase of load, also if another limit overlaps them",
		// Guards against a burst at the end of a pause because an ejection, a start or a cold
		// period limits the server as well.
		func(result placement.Result, endedAfter, pausedAfter time.Duration) {
			setUp("a", "b")
			lease, refusal := p.Pick(placement.Request{Service: req.Service, Exclude: []directory.Key{key("b")}}, now)
			Expect(refusal).To(BeNil())
			pause := func() { p.Pause(key("a"), now.Add(6*time.Second), now.Add(pausedAfter)) }
			if pausedAfter < endedAfter {
				pause()
			}
			p.Done(lease, result, now.Add(endedAfter))
			if pausedAfter >= endedAfter {
				pause()
			}
			at := now.Add(6100 * time.Millisecond)
			running := make(map[string]int)
			for range 12 {
				l, refusal := p.Pick(req, at)
				Expect(refusal).To(BeNil())
				running[l.Server.ID]++
			}
			Expect(running["a"]).To(Equal(1))
			Expect(p.Throttled(key("a"), at)).To(BeTrue())
			Expect(p.ConcurrencyLimited(at)).To(Equal(map[string]int{req.Service: 1}))
		},
		Entry("none", placement.Answered, time.Duration(0), time.Duration(0)),
		Entry("an ejection during the pause", placement.Unreachable, time.Second, time.Duration(0)),
		Entry("an ejection before the pause", placement.Unreachable, time.Duration(0), 200*time.Millisecond),
	)

	It("end with the incarnation that asked for them", func() {
		setUp("a")
		p.Pause(key("a"), now.Add(time.Hour), now)
		d.Put(listing("a", 2))
		_, refusal := p.Pick(req, now)
		Expect(refusal).To(BeNil())
	})

	It("apply to each server, whatever restarts, drains or asks again", func() {
		// Compares with a model that keeps the end of each incarnation's pause and the
		// draining incarnations.
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			setUp("a", "b", "c")
			starts := map[string]int64{"a": 1, "b": 1, "c": 1}
			ends := make(map[directory.Key]time.Time)
			draining := make(map[directory.Key]bool)
			at := now
			for range rapid.IntRange(1, 120).Draw(t, "steps") {
				// The clock of a suspended process stands still and then jumps.
				at = at.Add(time.Duration(rapid.SampledFrom([]int{0, 1, 50, 700, 5000}).Draw(t, "ms")) * time.Millisecond)
				id := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "server")
				k := directory.Key{ID: id, StartUnixMilli: starts[id]}
				switch rapid.IntRange(0, 5).Draw(t, "kind") {
				case 0:
					until := at.Add(time.Duration(rapid.IntRange(1, 4).Draw(t, "seconds")) * time.Second)
					p.Pause(k, until, at)
					if until.After(ends[k]) {
						ends[k] = until
					}
				case 1:
					d.MarkDraining(k, directory.SourceResponse, at)
					draining[k] = true
				case 2:
					starts[id]++
					d.Put(listing(id, starts[id]))
				case 3:
					// A late row of the same incarnation.
					d.Put(listing(id, starts[id]))
				default:
					l, refusal := p.Pick(req, at)
					available := false
					for id, b := range starts {
						k := directory.Key{ID: id, StartUnixMilli: b}
						available = available || !draining[k] && !at.Before(ends[k])
					}
					if (refusal == nil) != available {
						t.Fatalf("refusal %v; a server is available: %t", refusal, available)
					}
					if refusal != nil {
						continue
					}
					if used := l.Server.Key(); draining[used] || at.Before(ends[used]) {
						t.Fatalf("%v was used at %v; draining: %t, paused until %v", used, at, draining[used], ends[used])
					}
					p.Done(l, placement.Answered, at)
				}
			}
		})
	})
})

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

var _ = Describe("Pauses that servers ask for", func() {
	now := time.Unix(1000, 0)
	var d *directory.Directory
	var p *placement.Picker
	listing := func(id string, born int64) *directory.Server {
		return &directory.Server{ID: id, StartUnixMilli: born, Service: "desk", Address: id, Domain: "north", Slots: 4}
	}
	key := func(id string) directory.Key { return directory.Key{ID: id, StartUnixMilli: 1} }
	demand := placement.Request{Service: "desk", Domain: "north", LatencyTarget: time.Second}
	setUp := func(servers ...string) {
		d = directory.New()
		for _, id := range servers {
			d.Put(listing(id, 1))
		}
		p = placement.New(placement.Config{Domain: "north", Regions: map[string]string{"north": "n"}}, d, rand.New(rand.NewPCG(1, 1)))
	}

	It("keep requests away until the latest end, and are no failure", func() {
		setUp("a", "b")
		p.Pause(key("a"), now.Add(2*time.Second), now)
		Expect(p.Pause(key("a"), now.Add(time.Second), now)).To(BeFalse())
		for range 20 {
			l, refusal := p.Pick(demand, now.Add(1900*time.Millisecond))
			Expect(refusal).To(BeNil())
			Expect(l.Server.ID).To(Equal("b"))
			p.Done(l, placement.Rejected, now)
		}
		Expect(p.Condition(d.Get(key("a")), now)).To(Equal(placement.Pausing))
		Expect(p.Condition(d.Get(key("a")), now.Add(2*time.Second))).To(Equal(placement.Open))
		Expect(p.Avoided("desk", now)).To(ConsistOf(key("a")))
	})

	It("let requests be refused at once with the earliest end, when all servers want one", func() {
		// Guards against callers that return before any server takes them, or all together.
		setUp("a", "b")
		p.Pause(key("a"), now.Add(3*time.Second), now)
		Expect(p.RefuseIfPaused(&demand, now)).To(BeNil())
		p.Pause(key("b"), now.Add(2*time.Second), now)
		Expect(p.RefuseIfPaused(&demand, now)).NotTo(BeNil())
		waits := make(map[time.Duration]bool)
		for range 20 {
			_, refusal := p.Pick(demand, now)
			Expect(refusal.Reason).To(Equal(placement.Paused))
			Expect(refusal.RetryAfter).To(And(BeNumerically(">=", 2*time.Second), BeNumerically("<=", 2500*time.Millisecond)))
			Expect(refusal.ExcludedServers).To(ConsistOf("a: paused for 3000 ms", "b: paused for 2000 ms"))
			waits[refusal.RetryAfter] = true
		}
		Expect(len(waits)).To(BeNumerically(">", 10))
	})

	It("concern one entry: those of others are placed there", func() {
		setUp("a")
		p.Pause(key("a"), now.Add(3*time.Second), now)
		other := demand
		other.Entry = "entry-2"
		_, refusal := p.Pick(other, now)
		Expect(refusal).To(BeNil())
	})

	It("end with a gradual return of load", func() {
		// Guards against a wave of requests at the end of a pause.
		setUp("a", "b")
		p.Pause(key("a"), now.Add(time.Second), now)
		at := now.Add(1500 * time.Millisecond)
		running := make(map[string]int)
		for range 12 {
			l, refusal := p.Pick(demand, at)
			Expect(refusal).To(BeNil())
			running[l.Server.ID]++
		}
		Expect(running["a"]).To(Equal(2), "half of its slots after half of the return")
		Expect(p.Throttled(key("a"), at)).To(BeTrue())
		Expect(p.Throttled(key("a"), now.Add(2*time.Second))).To(BeFalse())
	})

	It("end with the start that asked", func() {
		setUp("a")
		p.Pause(key("a"), now.Add(time.Hour), now)
		d.Put(listing("a", 2))
		_, refusal := p.Pick(demand, now)
		Expect(refusal).To(BeNil())
	})

	It("hold for each server, whatever restarts, leaves or asks again", func() {
		// An oracle keeps the end of each start's pause and the starts that leave.
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			setUp("a", "b", "c")
			born := map[string]int64{"a": 1, "b": 1, "c": 1}
			ends := make(map[directory.Key]time.Time)
			leaving := make(map[directory.Key]bool)
			at := now
			for range rapid.IntRange(1, 120).Draw(t, "steps") {
				// Clocks of paused processes stand still and go on.
				at = at.Add(time.Duration(rapid.SampledFrom([]int{0, 1, 50, 700, 5000}).Draw(t, "ms")) * time.Millisecond)
				id := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "server")
				k := directory.Key{ID: id, StartUnixMilli: born[id]}
				switch rapid.IntRange(0, 5).Draw(t, "kind") {
				case 0:
					until := at.Add(time.Duration(rapid.IntRange(1, 4).Draw(t, "seconds")) * time.Second)
					p.Pause(k, until, at)
					if until.After(ends[k]) {
						ends[k] = until
					}
				case 1:
					d.MarkDraining(k, directory.SourceResponse, at)
					leaving[k] = true
				case 2:
					born[id]++
					d.Put(listing(id, born[id]))
				case 3:
					// A late row of the same start.
					d.Put(listing(id, born[id]))
				default:
					l, refusal := p.Pick(demand, at)
					open := false
					for id, b := range born {
						k := directory.Key{ID: id, StartUnixMilli: b}
						open = open || !leaving[k] && !at.Before(ends[k])
					}
					if (refusal == nil) != open {
						t.Fatalf("refused %v while a server is open: %t", refusal, open)
					}
					if refusal != nil {
						continue
					}
					if used := l.Server.Key(); leaving[used] || at.Before(ends[used]) {
						t.Fatalf("%v is used at %v, it leaves: %t, pause until %v", used, at, leaving[used], ends[used])
					}
					p.Done(l, placement.Answered, at)
				}
			}
		})
	})
})

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
	"github.com/auburnbend/auburnbend/lib/serving"
)

var _ = Describe("Evacuation", func() {
	regions := map[string]string{"north-a": "north", "north-b": "north", "south-a": "south"}
	domains := []string{"north-a", "north-b", "south-a"}
	start := time.Unix(1000, 0)

	newPicker := func(servers ...string) (*placement.Picker, *directory.Directory) {
		d := directory.New()
		for i, domain := range servers {
			d.Put(&directory.Server{ID: fmt.Sprint("s", i), Service: "desk", Address: fmt.Sprintf("s%d:80", i), Domain: domain, Slots: 4})
		}
		return placement.New(placement.Config{Domain: "north-a", Regions: regions}, d, rand.New(rand.NewPCG(1, 1))), d
	}
	req := placement.Request{Service: "desk", LatencyTarget: time.Second, Remaining: 3 * time.Second}
	// domainOf picks a server, ends its request and returns its failure domain, or an empty
	// string for a refusal.
	domainOf := func(p *placement.Picker, now time.Time) string {
		lease, _ := p.Pick(req, now)
		if lease == nil {
			return ""
		}
		p.Done(lease, placement.Answered, now)
		return lease.Server.Domain
	}

	It("keeps requests away whatever the state of the servers is, until it ends", func() {
		// Guards against exceptions that choose an evacuated server, such as those for
		// services whose servers are all ejected, and against an evacuation that a later one
		// of another domain ends.
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			p, d := newPicker(rapid.SliceOfN(rapid.SampledFrom(domains), 0, 8).Draw(t, "servers")...)
			now := start
			var evacuated []string
			for range rapid.IntRange(1, 60).Draw(t, "steps") {
				now = now.Add(time.Duration(rapid.IntRange(0, 500).Draw(t, "ms")) * time.Millisecond)
				switch rapid.IntRange(0, 5).Draw(t, "step") {
				case 0:
					evacuated = rapid.SliceOfNDistinct(rapid.SampledFrom(domains), 0, 3, rapid.ID[string]).Draw(t, "evacuated")
					p.SetEvacuated(evacuated, now)
				case 1:
					d.ForEach(func(s *directory.Server) {
						p.Done(p.Adopt(s, &req, now), placement.Unreachable, now)
					})
				default:
					domain := domainOf(p, now)
					for _, e := range evacuated {
						if domain == e {
							t.Fatalf("server of %s although %v are evacuated", domain, evacuated)
						}
					}
				}
			}
		})
	})

	It("is the reason of a refusal and the condition of its servers", func() {
		p, d := newPicker("north-a", "south-a")
		evacuated, restored := p.SetEvacuated([]string{"north-a", "south-a"}, start)
		Expect(evacuated).To(Equal([]string{"north-a", "south-a"}))
		Expect(restored).To(BeEmpty())
		_, refusal := p.Pick(req, start)
		Expect(refusal.Reason).To(Equal(placement.DomainEvacuated))
		Expect(refusal.RetryAfter).To(BeNumerically(">", 0))
		Expect(refusal.ExcludedServers).To(ConsistOf("s0: evacuated", "s1: evacuated"))
		Expect(p.EvacuatedDomains()).To(Equal([]string{"north-a", "south-a"}))
		Expect(p.Condition(d.Get(directory.Key{ID: "s0"}), start)).To(Equal(placement.Evacuated))
		evacuated, restored = p.SetEvacuated([]string{"south-a"}, start)
		Expect(evacuated).To(BeEmpty())
		Expect(restored).To(Equal([]string{"north-a"}))
		Expect(p.EvacuatedDomains()).To(Equal([]string{"south-a"}))
		// The only server that is left is used at once.
		Expect(domainOf(p, start)).To(Equal("north-a"))
		far := req
		far.Homes = serving.CommonHomes([]string{"south"})
		_, refusal = p.Pick(far, start)
		Expect(refusal.Reason).To(Equal(placement.DomainEvacuated))
	})

	It("ends with a share of requests that rises over seconds", func() {
		// Guards against cold servers that get all requests because nothing runs there.
		p, _ := newPicker("north-a", "north-a", "north-b", "north-b")
		p.SetEvacuated([]string{"north-a"}, start)
		p.SetEvacuated(nil, start)
		var shares []float64
		for second := range 4 {
			n := 0
			for i := range 1000 {
				if domainOf(p, start.Add(time.Duration(second)*time.Second+time.Duration(i)*time.Millisecond)) == "north-a" {
					n++
				}
			}
			shares = append(shares, float64(n)/1000)
		}
		AddReportEntry("shares", shares)
		Expect(shares[0]).To(And(BeNumerically(">", 0.1), BeNumerically("<", 0.25)))
		Expect(shares[1]).To(BeNumerically(">", shares[0]+0.1))
		Expect(shares[2]).To(BeNumerically(">", shares[1]+0.1))
		Expect(shares[3]).To(BeNumerically(">", 0.95))
	})

	It("of the own region does not limit the use of others to a request in 100 ms", func() {
		// Guards against refusing the callers of an evacuated region although others have
		// room.
		p, d := newPicker("north-a", "north-b", "south-a")
		d.ForEach(func(s *directory.Server) { p.Report(s.Key(), placement.Load{}, start) })
		now := start.Add(time.Second)
		p.SetEvacuated([]string{"north-a", "north-b"}, now)
		for range 4 {
			lease, refusal := p.Pick(req, now)
			Expect(refusal).To(BeNil())
			Expect(lease.Server.Domain).To(Equal("south-a"))
		}
	})
})

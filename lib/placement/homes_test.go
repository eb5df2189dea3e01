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

var _ = Describe("Homes", func() {
	regions := map[string]string{"north-a": "north", "north-b": "north", "south-a": "south", "west-a": "west"}
	domains := []string{"north-a", "north-b", "south-a", "west-a", "unknown"}
	start := time.Unix(1000, 0)

	newPicker := func(servers ...*directory.Server) (*placement.Picker, *directory.Directory) {
		d := directory.New()
		for _, s := range servers {
			d.Put(s)
		}
		return placement.New(placement.Config{Domain: "north-a", Regions: regions}, d, rand.New(rand.NewPCG(1, 1))), d
	}
	desk := func(id, domain string) *directory.Server {
		return &directory.Server{ID: id, Service: "desk", Address: id + ":80", Domain: domain, Slots: 4}
	}
	only := func(names ...string) placement.Request {
		return placement.Request{Service: "desk", LatencyTarget: time.Second, Remaining: 3 * time.Second, Homes: serving.CommonHomes(names)}
	}

	It("bind whatever the state of the servers is", func() {
		// Guards against exceptions that choose a server of another region: because the
		// servers of the homes are ejected, closed, paused, busy or were used a moment ago.
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			p, d := newPicker()
			now := start
			for i := range rapid.IntRange(0, 8).Draw(t, "servers") {
				s := desk(fmt.Sprint("s", i), rapid.SampledFrom(domains).Draw(t, "domain"))
				d.Put(s)
				switch rapid.IntRange(0, 4).Draw(t, "state") {
				case 0:
					p.Report(s.Key(), placement.Load{Running: rapid.IntRange(0, 30).Draw(t, "running")}, now)
				case 1:
					p.Report(s.Key(), placement.Load{Closed: true}, now)
				case 2:
					p.Pause(s.Key(), now.Add(time.Second), now)
				case 3:
					p.Done(p.Adopt(s, &placement.Request{Service: "desk"}, now), placement.Unreachable, now)
				}
			}
			homes := serving.CommonHomes(
				rapid.SliceOfN(rapid.SampledFrom([]string{"north", "south", "west", "elsewhere"}), 0, 2).Draw(t, "route"),
				rapid.SliceOfN(rapid.SampledFrom([]string{"north", "south", "west"}), 0, 2).Draw(t, "team"),
			)
			for range rapid.IntRange(1, 40).Draw(t, "requests") {
				now = now.Add(time.Duration(rapid.IntRange(0, 200).Draw(t, "ms")) * time.Millisecond)
				req := only()
				req.Homes = homes
				lease, refusal := p.Pick(req, now)
				if lease == nil {
					if refusal.RetryAfter <= 0 {
						t.Fatalf("refusal %+v", refusal)
					}
					continue
				}
				region, known := regions[lease.Server.Domain]
				if homes.Restricted && (!known || !homes.Allow(region)) {
					t.Fatalf("server of %q for %+v", lease.Server.Domain, homes)
				}
				if rapid.Bool().Draw(t, "ends") {
					p.Done(lease, placement.Result(rapid.IntRange(0, int(placement.Failed)).Draw(t, "result")), now)
				}
			}
		})
	})

	It("are the reason of a refusal if only they exclude the servers", func() {
		p, d := newPicker(desk("a", "north-a"))
		_, refusal := p.Pick(only("south"), start)
		Expect(refusal.Reason).To(Equal(placement.NoHome))
		_, refusal = p.Pick(placement.Request{Service: "other", Homes: serving.CommonHomes([]string{"south"})}, start)
		Expect(refusal.Reason).To(Equal(placement.NoServer))
		_, refusal = p.Pick(placement.Request{Service: "desk", Homes: serving.CommonHomes([]string{"north"}, []string{"south"})}, start)
		Expect(refusal.Reason).To(Equal(placement.NoHome))
		d.Put(&directory.Server{ID: "b", Service: "desk", Address: "b:80", Domain: "south-a", Slots: 4})
		req := only("south")
		req.Engine, req.Model = engine, "m"
		_, refusal = p.Pick(req, start)
		Expect(refusal.Reason).To(Equal(placement.NoWeights))
	})

	It("are considered where servers ask for a pause", func() {
		// Guards against a refusal that does not tell the end of the pause because a server
		// which must not serve the request has asked for none.
		far := desk("far", "south-a")
		p, _ := newPicker(desk("near", "north-a"), far)
		p.Pause(far.Key(), start.Add(4*time.Second), start)
		_, refusal := p.Pick(only("south"), start)
		Expect(refusal.Reason).To(Equal(placement.Paused))
		Expect(refusal.RetryAfter).To(BeNumerically(">=", 4*time.Second))
	})

	It("allow servers of other regions without a delay if the own region must not serve", func() {
		// Guards against refusing requests because the only home is another region, whose
		// servers otherwise get one request in 100 ms from an entry.
		far := desk("far", "south-a")
		p, _ := newPicker(desk("near", "north-a"), far)
		p.Report(far.Key(), placement.Load{}, start)
		for range 4 {
			lease, refusal := p.Pick(only("south", "west"), start)
			Expect(refusal).To(BeNil())
			Expect(lease.Server.ID).To(Equal("far"))
		}
	})
})

package placement_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/auburnbend/auburnbend/lib/directory"
	"github.com/auburnbend/auburnbend/lib/placement"
	"github.com/auburnbend/auburnbend/lib/serving"
)

var _ = Describe("Overload of the compared servers", func() {
	const entries = 60
	now := time.Unix(1000, 0)
	// place places a request at an entry in the north whose engines are full. running holds
	// the requests of the reporting engines in the south. prepare may be nil.
	place := func(seed uint64, e *serving.Engine, running []int, prepare func(*placement.Picker, placement.Request)) (*placement.Lease, *placement.Refusal) {
		d := directory.New()
		p := placement.New(placement.Config{Domain: "north", Regions: map[string]string{"north": "n", "south": "s"}}, d, rand.New(rand.NewPCG(seed, 1)))
		add := func(id, domain string, load int) {
			s := &directory.Server{ID: id, Service: "drafts", Address: id, Domain: domain, Slots: 16}
			if e != nil {
				s.Weights = map[string]directory.Weights{"m": {Version: 1, Complete: true}}
			}
			d.Put(s)
			p.RecordVerified(s.Key(), placement.VerifiedWeights{Model: "m", Version: 1, Until: now.Add(time.Hour)})
			p.Report(s.Key(), placement.Load{Running: load, Queued: max(0, load-16)}, now.Add(-time.Second))
		}
		add("local0", "north", 250)
		add("local1", "north", 250)
		for i, n := range running {
			add(fmt.Sprint("far", i), "south", n)
		}
		req := placement.Request{Service: "drafts", Engine: e, PromptTokens: 1000, OutputTokens: 100, LatencyTarget: 200 * time.Millisecond, Remaining: time.Second}
		if e != nil {
			req.Model, req.LatencyTarget, req.Remaining = "m", 400*time.Millisecond, 6*time.Second
		}
		if prepare != nil {
			prepare(p, req)
		}
		return p.Pick(req, now)
	}
	full := func(n int, idle ...int) []int {
		running := make([]int, n)
		for i := range running {
			running[i] = 250
		}
		for _, i := range idle {
			running[i] = 0
		}
		return running
	}

	for name, e := range map[string]*serving.Engine{"engines": engine, "plain servers": nil} {
		It("refuses no request while a remote server has a free place: "+name, func() {
			// Guards against a refusal as overloaded because the two servers that were drawn
			// are busy: a fifth of the requests of an evacuated region were refused.
			refused := 0
			for seed := range uint64(entries) {
				lease, _ := place(seed, e, full(12, 7), nil)
				if lease == nil {
					refused++
					continue
				}
				Expect(lease.Server.ID).To(Equal("far7"))
			}
			Expect(refused).To(BeZero())
		})
	}

	It("does not send the requests of all entries to the same remote server", func() {
		// Guards against a burst to the server that seems best: its report is 100 ms old.
		counts := make(map[string]int)
		for seed := range uint64(entries) {
			lease, refusal := place(seed, engine, full(40, 3, 9, 21, 33), nil)
			Expect(refusal).To(BeNil())
			counts[lease.Server.ID]++
		}
		Expect(counts).To(HaveLen(4))
		for id, n := range counts {
			Expect(n).To(BeNumerically("<=", entries/2), id)
		}
	})

	evacuate := func(p *placement.Picker, req placement.Request) {
		p.SetEvacuated([]string{"north"}, now)
		lease, refusal := p.Pick(req, now.Add(-time.Millisecond))
		Expect(refusal).To(BeNil())
		Expect(lease.Server.ID).To(Equal("far7"))
	}

	It("uses a remote server again at once if the own region is evacuated", func() {
		// Guards against refusals in a region whose requests all go to a few servers: each of
		// them got one request in 100 ms while any other one was available.
		for seed := range uint64(entries) {
			_, refusal := place(seed, engine, full(12, 7), evacuate)
			Expect(refusal).To(BeNil())
		}
	})

	It("refuses if no server is within the limit", func() {
		for seed := range uint64(entries) {
			_, refusal := place(seed, engine, full(12), nil)
			Expect(refusal.Reason).To(Equal(placement.Overloaded))
		}
	})

	It("does not use a very slow server because it is idle", func() {
		// Guards against requests that are sent to a server which responds after their
		// deadlines, in place of a refusal with a retry delay.
		_, refusal := place(1, engine, full(12, 7), func(p *placement.Picker, _ placement.Request) {
			p.Report(directory.Key{ID: "far7"}, placement.Load{Slowdown: 1000}, now.Add(-time.Second))
		})
		Expect(refusal).NotTo(BeNil())
	})
})

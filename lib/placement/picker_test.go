package placement_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/auburnbend/auburnbend/lib/admit"
	"github.com/auburnbend/auburnbend/lib/directory"
	"github.com/auburnbend/auburnbend/lib/placement"
	"github.com/auburnbend/auburnbend/lib/serving"
	"github.com/auburnbend/auburnbend/lib/versions"
)

// engine is a model engine with realistic parameters.
var engine = &serving.Engine{
	Slots: 16, KVCacheTokens: 1180000, StepTime: 8870 * time.Microsecond, StepTimePerSequence: 39 * time.Microsecond,
	StepTimePer1kContext: 23 * time.Microsecond, PrefillTokensPerSecond: 19100, PrefillTimePerMillionPairs: 1470 * time.Microsecond,
	StepsPerPrefillChunk: 5, PrefillChunkTokens: 2048, MeanPromptTokens: 977, MeanOutputTokens: 94,
}

var _ = Describe("Picker", func() {
	var (
		now time.Time
		dir *directory.Directory
		p   *placement.Picker
	)
	add := func(id, domain string, change func(*directory.Server)) directory.Key {
		s := &directory.Server{
			ID: id, Service: "drafts", Address: id + ":80", Domain: domain, Slots: 16,
			Weights: map[string]directory.Weights{"m": {Version: 1, Complete: true}},
		}
		if change != nil {
			change(s)
		}
		dir.Put(s)
		for model, w := range s.Weights {
			p.RecordVerified(s.Key(), placement.VerifiedWeights{Model: model, Version: w.Version, Until: now.Add(time.Hour)})
		}
		return s.Key()
	}
	request := func() placement.Request {
		return placement.Request{
			Service: "drafts", Engine: engine, Model: "m", PromptTokens: 1000, OutputTokens: 100,
			LatencyTarget: 400 * time.Millisecond, Remaining: 6 * time.Second,
		}
	}
	pick := func(req placement.Request) *placement.Lease {
		lease, refusal := p.Pick(req, now)
		Expect(refusal).To(BeNil())
		return lease
	}
	BeforeEach(func() {
		now = time.Unix(1000, 0)
		dir = directory.New()
		p = placement.New(placement.Config{Domain: "north", Regions: map[string]string{"north": "n", "south": "s"}}, dir, rand.New(rand.NewPCG(1, 1)))
	})

	It("spreads requests over the servers of its domain and uses others when those are busy", func() {
		add("a", "north", nil)
		add("b", "north", nil)
		add("far", "south", nil)
		counts := make(map[string]int)
		for range 3 {
			counts[pick(request()).Server.ID]++
		}
		Expect(counts["a"]).To(BeNumerically(">=", 1))
		Expect(counts["b"]).To(BeNumerically(">=", 1))
		for range 10 {
			counts[pick(request()).Server.ID]++
		}
		Expect(counts["far"]).To(BeNumerically(">", 1))
	})

	It("sends requests to equally good servers in turn", func() {
		// Guards against an idle service whose requests all go to one server, the first in
		// the order of a map: the others get none, also if that server rejects them all.
		for i := range 5 {
			add(fmt.Sprint("s", i), "north", nil)
		}
		counts := make(map[string]int)
		for range 100 {
			lease := pick(request())
			counts[lease.Server.ID]++
			p.Done(lease, placement.Rejected, now)
			now = now.Add(100 * time.Millisecond)
		}
		Expect(counts).To(Equal(map[string]int{"s0": 20, "s1": 20, "s2": 20, "s3": 20, "s4": 20}))
	})

	It("does not use servers that drain, load, have other weights or were tried", func() {
		// Guards against requests to draining servers, and against responses from weights
		// that must no longer serve.
		add("draining", "north", func(s *directory.Server) { s.Draining = true })
		add("part", "north", func(s *directory.Server) { s.Weights["m"] = directory.Weights{Version: 2} })
		add("empty", "north", func(s *directory.Server) { s.Weights = nil })
		loading := add("loading", "north", func(s *directory.Server) { s.Weights["m"] = directory.Weights{Version: 2, Complete: true} })
		p.Report(loading, placement.Load{Closed: true}, now)
		tried := add("tried", "north", func(s *directory.Server) { s.Weights["m"] = directory.Weights{Version: 2, Complete: true} })
		add("old", "north", nil)
		req := request()
		req.MinVersion, req.Exclude = 2, []directory.Key{tried}
		_, refusal := p.Pick(req, now)
		Expect(refusal).NotTo(BeNil())
		Expect(refusal.RetryAfter).To(BeNumerically(">", 0))
		req.MinVersion = 0
		Expect(pick(req).Server.ID).To(Equal("old"))
	})

	It("does not use weights that may become too old while the request waits", func() {
		// Guards against a request that begins on older weights after their deadline: it
		// had waited 620 ms on its server.
		key := add("a", "north", nil)
		req := request()
		req.VersionDeadlines = versions.Deadlines{{Version: 2, At: now.Add(750 * time.Millisecond)}}
		pick(req)
		p.Report(key, placement.Load{Running: 15, PrefillTokens: 8000}, now)
		req.LatencyTarget = 2 * time.Second
		_, refusal := p.Pick(req, now)
		Expect(refusal).NotTo(BeNil())
		Expect(refusal.Reason).To(Equal(placement.NoWeights))
		req.VersionDeadlines[0].Version = 1
		pick(req)
	})

	It("finds the remote servers whose weights do not expire", func() {
		// Guards against refusals shortly before a deadline while some remote servers have the
		// newest weights: only two remote servers, chosen at random, were compared.
		add("old", "north", nil)
		var remote []directory.Key
		report := func() {
			for _, key := range remote {
				p.Report(key, placement.Load{}, now)
			}
		}
		for i := range 8 {
			remote = append(remote, add(fmt.Sprint("far", i), "south", func(s *directory.Server) {
				if i < 2 {
					s.Weights["m"] = directory.Weights{Version: 2, Complete: true}
				}
			}))
		}
		report()
		for range 100 {
			now = now.Add(400 * time.Millisecond)
			report()
			req := request()
			req.VersionDeadlines = versions.Deadlines{{Version: 2, At: now.Add(500 * time.Millisecond)}}
			lease := pick(req)
			Expect(lease.Server.Weights["m"].Version).To(Equal(2))
			p.Done(lease, placement.Answered, now)
		}
	})

	It("does not use weights that expire second, but before the request may begin", func() {
		// Guards against a request that is placed on the version which becomes the oldest one
		// allowed, and waits there until a version declared shortly after expires it as well.
		add("old", "north", nil)
		add("next", "north", func(s *directory.Server) { s.Weights["m"] = directory.Weights{Version: 2, Complete: true} })
		newest := add("newest", "north", func(s *directory.Server) { s.Weights["m"] = directory.Weights{Version: 3, Complete: true} })
		req := request()
		req.VersionDeadlines = versions.Deadlines{{Version: 2, At: now.Add(200 * time.Millisecond)}, {Version: 3, At: now.Add(600 * time.Millisecond)}}
		for range 5 {
			Expect(pick(req).Server.ID).To(Equal("newest"))
		}
		req.Exclude = []directory.Key{newest}
		_, refusal := p.Pick(req, now)
		Expect(refusal).NotTo(BeNil())
		Expect(refusal.Reason).To(Equal(placement.NoWeights))
	})

	It("does not use a mismatched server until its listing changes", func() {
		// Guards against requests that all go to incarnations which ended in a power
		// failure: their rows and weights were still listed, so that they seemed idle. 445
		// requests were refused after two such failures.
		key := add("old", "north", nil)
		add("good", "north", nil)
		p.Report(key, placement.Load{Running: 0}, now)
		for range 3 {
			lease := pick(request())
			if lease.Server.ID != "old" {
				continue
			}
			p.Done(lease, placement.Mismatched, now)
			break
		}
		for range 5 {
			Expect(pick(request()).Server.ID).To(Equal("good"))
		}
		add("old", "north", nil)
		Expect(pick(request()).Server.ID).To(Equal("old"))
		p.MarkSuperseded(key)
		Expect(pick(request()).Server.ID).To(Equal("good"))
	})

	It("refuses with the longest accepted retry delay while no weights may serve", func() {
		// Guards against callers that retry during the same outage and are refused again:
		// on umurage-crest scale-1 this cost 0.028 of the day's worth.
		add("old", "north", nil)
		req := request()
		req.MinVersion = 2
		_, refusal := p.Pick(req, now)
		Expect(refusal.Reason).To(Equal(placement.NoWeights))
		Expect(refusal.RetryAfter).To(Equal(2 * time.Second))
		req.Remaining = 600 * time.Millisecond
		_, refusal = p.Pick(req, now)
		Expect(refusal.RetryAfter).To(Equal(200 * time.Millisecond))
	})

	It("keeps the margin before a version deadline even if no wait is predicted", func() {
		// Guards against a request that begins after the deadline because the prediction
		// was too low: waits of 620 ms were seen where none were predicted.
		add("a", "north", nil)
		req := request()
		req.VersionDeadlines = versions.Deadlines{{Version: 2, At: now.Add(690 * time.Millisecond)}}
		_, refusal := p.Pick(req, now)
		Expect(refusal).NotTo(BeNil())
		Expect(refusal.Reason).To(Equal(placement.NoWeights))
		req.VersionDeadlines[0].At = now.Add(710 * time.Millisecond)
		pick(req)
	})

	It("keeps a server closed when a response reports its load", func() {
		// Guards against requests to an engine that is loading weights: its responses to
		// earlier requests do not state this.
		key := add("a", "north", nil)
		p.Report(key, placement.Load{Closed: true}, now)
		p.UpdateCounts(key, 1, 0, now)
		_, refusal := p.Pick(request(), now)
		Expect(refusal).NotTo(BeNil())
	})

	It("keeps a server closed whose agent stops reporting", func() {
		// Guards against requests to an engine that took weights which nobody has verified:
		// its agent ended or was paused after the order, and its row names the new version.
		key := add("a", "north", nil)
		p.Report(key, placement.Load{Closed: true}, now)
		now = now.Add(time.Minute)
		_, refusal := p.Pick(request(), now)
		Expect(refusal).NotTo(BeNil())
		p.Report(key, placement.Load{}, now)
		pick(request())
	})

	It("refuses requests that would miss their latency target, with a retry delay", func() {
		// Guards against a burst during which every response is late: 60 requests arrive
		// at the same moment for two engines.
		add("a", "north", nil)
		add("b", "north", nil)
		placed, refused := 0, 0
		for range 60 {
			lease, refusal := p.Pick(request(), now)
			if refusal != nil {
				refused++
				Expect(refusal.Reason).To(Equal(placement.Overloaded))
				Expect(refusal.RetryAfter).To(And(BeNumerically(">=", 100*time.Millisecond), BeNumerically("<=", 2*time.Second)))
				continue
			}
			placed++
			// Servers that are less than half full accept any request; the busier ones meet
			// the target.
			if lease.Occupancy >= engine.Slots/2 {
				Expect(lease.Predicted).To(BeNumerically("<", request().LatencyTarget))
			}
		}
		Expect(placed).To(BeNumerically(">", 8))
		Expect(refused).To(BeNumerically(">", 10))
	})

	It("refuses long prompts no more often than short ones", func() {
		// Guards against starvation of the largest requests of a class.
		key := add("a", "north", nil)
		p.Report(key, placement.Load{Running: 15}, now)
		long := request()
		long.PromptTokens = 3800
		_, refusedLong := p.Pick(long, now)
		Expect(refusedLong).To(BeNil())
	})

	It("places a stream that has begun regardless of its target", func() {
		key := add("a", "north", nil)
		p.Report(key, placement.Load{Running: 16, Queued: 30}, now)
		_, refusal := p.Pick(request(), now)
		Expect(refusal).NotTo(BeNil())
		req := request()
		req.MayHaveRun = true
		pick(req)
	})

	It("counts requests that are newer than a report", func() {
		// Guards against many requests to an engine that has just become free: the report
		// described the load before the last requests, and replaced their count.
		a := add("a", "north", nil)
		b := add("b", "north", nil)
		for range 6 {
			pick(request())
		}
		now = now.Add(50 * time.Millisecond)
		p.Report(a, placement.Load{Age: 80 * time.Millisecond}, now)
		p.Report(b, placement.Load{Age: 80 * time.Millisecond}, now)
		Expect(pick(request()).Occupancy).To(Equal(3))
	})

	It("prefers remote engines whose load it knows", func() {
		// Guards against requests that wait on a full engine of another region which does
		// not report to this entry and so seems idle.
		for i := range 20 {
			add(fmt.Sprint("unknown", i), "south", nil)
		}
		for i := range 3 {
			p.Report(add(fmt.Sprint("known", i), "south", nil), placement.Load{Running: 1}, now)
		}
		now = now.Add(time.Second)
		for range 10 {
			now = now.Add(150 * time.Millisecond)
			Expect(pick(request()).Server.ID).To(HavePrefix("known"))
		}
	})

	It("counts requests of other entries", func() {
		a := add("a", "north", nil)
		pick(request())
		now = now.Add(time.Second)
		p.Report(a, placement.Load{Running: 9}, now)
		Expect(pick(request()).Occupancy).To(Equal(9))
	})

	It("leaves an engine that has just opened to the entries of its region", func() {
		// Guards against all entries of a fleet choosing the only available engine in the
		// 100 ms between two reports: requests waited 1.4 s there.
		far := add("far", "south", nil)
		p.Report(far, placement.Load{Closed: true}, now)
		p.Report(far, placement.Load{}, now)
		_, refusal := p.Pick(request(), now)
		Expect(refusal).NotTo(BeNil())
		now = now.Add(time.Second)
		p.Report(far, placement.Load{}, now)
		pick(request())
		_, refusal = p.Pick(request(), now)
		Expect(refusal).NotTo(BeNil())
		now = now.Add(100 * time.Millisecond)
		pick(request())
	})

	It("prefers a server at its declared speed to a slow one", func() {
		a := add("a", "north", nil)
		add("b", "north", nil)
		p.Report(a, placement.Load{Slowdown: 3.5}, now)
		for range 3 {
			Expect(pick(request()).Server.ID).To(Equal("b"))
		}
	})

	It("ejects a server after consecutive failures and uses it again later", func() {
		// Guards against servers that fail requests while their health checks pass.
		add("a", "north", nil)
		add("b", "north", nil)
		failed := ""
		for range 2 {
			lease := pick(request())
			for failed != "" && lease.Server.ID != failed {
				p.Done(lease, placement.Cancelled, now)
				hold := pick(request())
				lease = pick(request())
				defer p.Done(hold, placement.Cancelled, now)
			}
			failed = lease.Server.ID
			p.Done(lease, placement.Failed, now)
		}
		for range 6 {
			Expect(pick(request()).Server.ID).NotTo(Equal(failed))
		}
		now = now.Add(5 * time.Second)
		seen := make(map[string]bool)
		for range 6 {
			seen[pick(request()).Server.ID] = true
		}
		Expect(seen).To(HaveKey(failed))
	})

	It("ejects a server that does not respond until its callers disconnect", func() {
		// Guards against a server that accepts requests and never responds, which causes
		// no error.
		silent := add("a", "north", nil)
		other := add("b", "north", nil)
		req := request()
		req.Exclude = []directory.Key{other}
		for range 2 {
			p.Done(pick(req), placement.Cancelled, now.Add(3*time.Second))
		}
		now = now.Add(3 * time.Second)
		for range 6 {
			Expect(pick(request()).Server.ID).NotTo(Equal(silent.ID))
		}
	})

	It("uses ejected servers when all are ejected", func() {
		// Guards against refusing all requests of a service because one cause made all its
		// servers fail.
		for i := range 3 {
			add(fmt.Sprint("s", i), "north", nil)
		}
		for range 3 {
			p.Done(pick(request()), placement.Unreachable, now)
		}
		pick(request())
	})

	It("leaves no usage when requests end", func() {
		// Guards against servers that seem busy forever.
		for _, result := range []placement.Result{placement.Answered, placement.Cancelled, placement.Rejected, placement.Mismatched, placement.Unreachable, placement.Failed} {
			// A mismatched server is used again once its agent has reported.
			add("a", "north", nil)
			lease := pick(request())
			p.ResponseStarted(lease, now)
			usage := p.Done(lease, result, now)
			Expect(usage).To(Equal(placement.Usage{}))
			Expect(p.Done(lease, result, now)).To(Equal(placement.Usage{}))
			now = now.Add(10 * time.Second)
		}
	})

	It("tells the gate of requests that wait for weights, once", func() {
		// Guards against requests that are counted when they are admitted, but not when they came.
		p = placement.New(placement.Config{Domain: "north", WaitForPlacement: true}, dir, rand.New(rand.NewPCG(1, 1)))
		add("s", "north", func(s *directory.Server) { s.Weights = nil })
		withModel, req := *engine, request()
		withModel.Models = []string{"m"}
		req.Engine, req.Ranked, req.Rank, req.MaxWait = &withModel, true, 2, time.Second
		for _, req.Waited = range []time.Duration{0, 50 * time.Millisecond} {
			_, refusal := p.Pick(req, now)
			Expect(refusal.MayWait).To(BeTrue())
		}
		stats := p.GateStats(now)["drafts"]
		Expect(stats).To(HaveLen(1))
		Expect(stats[0].Rank).To(Equal(2))
		Expect(stats[0].Waited).To(BeEquivalentTo(1))
	})

	It("ends the overload of a service whose servers are gone", func() {
		// Guards against a log in which an overload begins and never ends.
		var changes []admit.OverloadChange
		p = placement.New(placement.Config{Domain: "north", OnOverload: func(_ string, o admit.Overload) {
			changes = append(changes, o.Change)
		}}, dir, rand.New(rand.NewPCG(1, 1)))
		add("s", "north", nil)
		req := request()
		req.Ranked = true
		Eventually(func() []admit.OverloadChange {
			p.Pick(req, now)
			return changes
		}).Should(Equal([]admit.OverloadChange{admit.OverloadBegan}))
		dir.Remove("s", false, now)
		p.Prune(now)
		Expect(changes).To(Equal([]admit.OverloadChange{admit.OverloadBegan, admit.OverloadEnded}))
	})
})

package gateway

import (
	"context"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/auburnbend/auburnbend/lib/clock"
	"github.com/auburnbend/auburnbend/lib/directory"
	"github.com/auburnbend/auburnbend/lib/eventlog"
	"github.com/auburnbend/auburnbend/lib/placement"
	"github.com/auburnbend/auburnbend/lib/serving"
)

var _ = Describe("Requests that wait for a placement", func() {
	const slots = 2
	engine := &serving.Engine{Slots: slots, StepTime: 20 * time.Millisecond, MeanOutputTokens: 50, Models: []string{"m"}}
	teams := []serving.Team{{Name: "urgent", HasPriority: true}, {Name: "other", HasPriority: true}, {Name: "least", Priority: 2, HasPriority: true}}
	var (
		g      *Gateway
		config *serving.Config
	)
	listing := func(version int) *directory.Server {
		return &directory.Server{ID: "s", Service: "drafts", Address: "127.0.0.1:1", Domain: "north", Slots: slots, Weights: map[string]directory.Weights{"m": {Version: version, Complete: true}}}
	}
	BeforeEach(func() {
		g = New(Config{Clock: clock.System{}, Log: eventlog.Discard(), Placement: placement.Config{Domain: "north", WaitForPlacement: true}})
		config = &serving.Config{
			Version: 1, Services: []serving.Service{{Name: "drafts", Engine: engine}}, Teams: teams,
			Routes: []serving.Route{{Host: "h", Prefix: "/", Kind: serving.Streaming, TargetLatency: 400 * time.Millisecond, Targets: []serving.Target{{Service: "drafts", Weight: 1}}}},
		}
		g.SetConfig(config)
		g.UpdateServers(func(d *directory.Directory, _ time.Time) { d.Put(listing(1)) })
		g.RecordVerified(directory.Key{ID: "s"}, placement.VerifiedWeights{Model: "m", Version: 1})
	})
	newRequest := func(team string) *request {
		hr := httptest.NewRequest("POST", "http://h/", nil)
		r := &request{gateway: g, http: hr, ctx: hr.Context(), arrived: g.now(), table: g.table.Load(), service: "drafts", engine: engine}
		r.info.Model = "m"
		r.route = r.table.Route("h", "/")
		for i := range teams {
			if teams[i].Name == team {
				r.team, r.summary.Team = &teams[i], team
			}
		}
		r.deadline = r.arrived.Add(6 * time.Second)
		return r
	}
	// fill places requests until none is accepted.
	fill := func() (attempts []*attempt, filler *request) {
		filler = newRequest("urgent")
		filler.mayHaveRun = true
		for range 3 * slots {
			a, refusal := filler.place(context.Background(), g.now())
			Expect(refusal).To(BeNil())
			attempts = append(attempts, a)
		}
		return attempts, filler
	}
	// wait starts a request and returns its result.
	type result struct {
		request *request
		attempt *attempt
		refusal *placement.Refusal
	}
	const hang = 10 * time.Second
	wait := func(r *request) <-chan result {
		done := make(chan result, 1)
		before := g.waitLines.count()
		go func() {
			a, refusal := r.placeOrWait()
			done <- result{r, a, refusal}
		}()
		Eventually(g.waitLines.count, hang).Should(Equal(before + 1))
		return done
	}

	It("are placed when there is room, the most urgent one first", func() {
		// Guards against callers that are refused although a place becomes free a moment later.
		attempts, filler := fill()
		least, urgent := wait(newRequest("least")), wait(newRequest("urgent"))
		// The less urgent one may have a turn from before the other joined.
		Eventually(func() bool {
			g.waitLines.mu.Lock()
			defer g.waitLines.mu.Unlock()
			return g.waitLines.lines[lineKey{"drafts", "m"}].holder == nil
		}, hang, time.Millisecond).Should(BeTrue())
		Consistently(least, 50*time.Millisecond).ShouldNot(Receive())
		// One free place; the engine then has as many requests as the limit allows.
		for _, a := range attempts[:2*slots+1] {
			filler.endAttempt(a, placement.Answered)
		}
		var first result
		Eventually(urgent, hang).Should(Receive(&first))
		Expect(first.refusal).To(BeNil())
		Expect(first.request.summary.Waited).To(BeNumerically(">", 0))
		Consistently(least, 100*time.Millisecond).ShouldNot(Receive())
		for _, a := range attempts[2*slots+1:] {
			filler.endAttempt(a, placement.Answered)
		}
		Eventually(least, hang).Should(Receive(&first))
		Expect(first.refusal).To(BeNil())
		Expect(g.waitLines.count()).To(BeZero())
		Expect(g.requestBudget.Held()).To(BeZero())
	})

	It("are refused at the end of their wait with a time to come back", func() {
		// Guards against streams that wait longer than their callers do.
		fill()
		r := newRequest("urgent")
		// Callers abandon a stream after 2 s, less the target and the reserve.
		r.arrived = time.Unix(1000, 0)
		r.deadline = r.arrived.Add(6 * time.Second)
		Expect(r.longestWait(r.arrived.Add(900 * time.Millisecond))).To(Equal(500 * time.Millisecond))
		Expect(r.longestWait(r.arrived.Add(2 * time.Second))).To(BeZero())
		r.deadline = r.arrived.Add(1200 * time.Millisecond)
		Expect(r.longestWait(r.arrived.Add(900 * time.Millisecond))).To(Equal(100 * time.Millisecond))
		r = newRequest("urgent")
		r.arrived = r.arrived.Add(-900 * time.Millisecond)
		var end result
		Eventually(wait(r), hang).Should(Receive(&end))
		Expect(end.refusal.Reason).To(Equal(placement.Overloaded))
		Expect(end.refusal.RetryAfter).To(BeNumerically(">", 0))
		Expect(end.refusal.RetryAfter).To(BeNumerically("<=", 2*time.Second))
		Expect(r.summary.Waited).To(BeNumerically(">", 0))
	})

	It("leave at once when their callers do", func() {
		// Guards against waiting requests that hold memory for callers that have gone.
		fill()
		r := newRequest("urgent")
		ctx, cancel := context.WithCancel(r.ctx)
		r.ctx = ctx
		done := wait(r)
		cancel()
		var end result
		Eventually(done, hang).Should(Receive(&end))
		Expect(end.attempt).To(BeNil())
		Expect(end.refusal).To(BeNil())
		Expect(g.waitLines.count()).To(BeZero())
		Expect(g.requestBudget.Held()).To(BeZero())
	})

	It("wait for weights that are being loaded, but not for a model that nobody has", func() {
		// Guards against refusals of all requests for the second in which engines load weights.
		g.SetTargetVersion("m", 2, 0)
		g.UpdateServers(func(d *directory.Directory, _ time.Time) {
			d.Put(&directory.Server{ID: "s", Service: "drafts", Address: "127.0.0.1:1", Domain: "north", Slots: slots})
		})
		unknown := newRequest("urgent")
		unknown.info.Model = "none"
		_, refusal := unknown.placeOrWait()
		Expect(refusal.Reason).To(Equal(placement.NoWeights))
		loading := wait(newRequest("urgent"))
		Consistently(loading, 100*time.Millisecond).ShouldNot(Receive())
		g.UpdateServers(func(d *directory.Directory, _ time.Time) { d.Put(listing(2)) })
		g.RecordVerified(directory.Key{ID: "s"}, placement.VerifiedWeights{Model: "m", Version: 2})
		var end result
		Eventually(loading, hang).Should(Receive(&end))
		Expect(end.refusal).To(BeNil())
	})

	It("are never more than the queue holds", func() {
		// Guards against a bound that requests which join at the same moment exceed.
		var joined atomic.Int64
		var wg sync.WaitGroup
		for range 4 * maxWaiting {
			wg.Go(func() {
				if g.waitLines.join(lineKey{"drafts", "m"}, 0, "", time.Second, true) != nil {
					joined.Add(1)
				}
			})
		}
		wg.Wait()
		Expect(joined.Load()).To(BeEquivalentTo(maxWaiting))
		Expect(g.waitLines.count()).To(Equal(maxWaiting))
	})

	It("do not wait where ranks are equal, memory is used up or the queue is full", func() {
		// Guards against other decisions in deployments without ranks, and against a queue
		// without a bound.
		fill()
		room, _ := g.requestBudget.TryAcquire("", defaultMaxHeldBodies)
		_, refusal := newRequest("urgent").placeOrWait()
		Expect(refusal.Reason).To(Equal(placement.Overloaded))
		room.Release()
		for range maxWaiting {
			DeferCleanup(g.waitLines.join(lineKey{"other", ""}, 0, "", time.Second, true).leave, false)
		}
		_, refusal = newRequest("urgent").placeOrWait()
		Expect(refusal.MayWait).To(BeFalse())
		equal := *config
		equal.Version, equal.Teams = 2, nil
		g.SetConfig(&equal)
		_, refusal = newRequest("urgent").placeOrWait()
		Expect(refusal.MayWait).To(BeFalse())
	})
})

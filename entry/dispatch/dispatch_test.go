package dispatch_test

import (
	"context"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/auburnbend/auburnbend/entry/caller"
	"github.com/auburnbend/auburnbend/internal/agenttest"
	"github.com/auburnbend/auburnbend/lib/model"
	"github.com/auburnbend/auburnbend/lib/outcome"
	"github.com/auburnbend/auburnbend/lib/wire"
	"github.com/auburnbend/auburnbend/standin/fault"
)

var _ = Describe("Dispatcher", func() {
	var h *harness

	BeforeEach(func() { h = newHarness() })

	Describe("with an idempotency key", func() {
		var a *agenttest.Agent

		BeforeEach(func() { a = h.agent("runner-a") })

		// Guards against a second run of an order that has already run.
		It("runs the first request and returns its result to later ones", func() {
			first := h.send("k", "plate")
			respond(started(a), "engraved")
			expectBody(first, "engraved")
			expectBody(h.send("k", "plate"), "engraved")
			Expect(a.RequestStarts).To(BeEmpty())
		})

		// Guards against a caller that repeats a request after a lost connection
		// and gets no result although one arrives.
		It("waits for the result of a running request with the same key", func() {
			first := h.send("k", "plate")
			run := started(a)
			second := h.send("k", "plate")
			Consistently(second.ended).WithTimeout(300 * time.Millisecond).ShouldNot(Receive())
			respond(run, "engraved")
			expectBody(first, "engraved")
			expectBody(second, "engraved")
			Expect(a.RequestStarts).To(BeEmpty())
		})

		// Guards against a key that stays blocked by a request that was not run.
		It("claims the key if the first request releases it", func() {
			first := h.send("k", "plate")
			run := started(a)
			second := h.send("k", "plate")
			refuse(run, outcome.ReasonDeadline)
			expectResult(first, outcome.NotRun, outcome.ReasonDeadline)
			respond(started(a), "engraved")
			expectBody(second, "engraved")
		})

		// Guards against an order that runs without a claim.
		It("does not run requests while the store is down", func() {
			h.table.Faults.Set(fault.Faults{Down: true})
			c := h.send("k", "plate")
			r := c.result()
			Expect(r.Outcome).To(Equal(outcome.NotRun))
			Expect(r.Reason).To(Equal(outcome.ReasonStoreUnavailable))
			Expect(r.RetryAfter).To(BeNumerically(">", 0))
			Expect(a.RequestStarts).To(BeEmpty())
		})

		// Guards against a final response that is delayed by a store that does not
		// respond.
		It("responds at the deadline if the store does not respond", func() {
			h.table.Faults.Set(fault.Faults{Stall: true})
			c := h.send("k", "plate", within(200*time.Millisecond))
			Eventually(c.ended).WithTimeout(time.Second).Should(Receive(HaveField("Outcome", outcome.NotRun)))
			Expect(a.RequestStarts).To(BeEmpty())
		})

		// Guards against returning the response of a different request.
		It("refuses a key that was used with different content", func() {
			first := h.send("k", "plate")
			respond(started(a), "engraved")
			expectBody(first, "engraved")
			expectResult(h.send("k", "goblet"), outcome.NotRun, outcome.ReasonInvalid)
			Expect(a.RequestStarts).To(BeEmpty())
		})

		// Guards against a claim that never gets its result because the caller did
		// not wait.
		It("completes the claim after the caller has disconnected", func() {
			first := h.send("k", "plate")
			run := started(a)
			first.disconnect()
			expectResult(first, outcome.Unknown, outcome.ReasonCanceled)
			respond(run, "engraved")
			expectBody(h.send("k", "plate"), "engraved")
			Expect(a.RequestStarts).To(BeEmpty())
		})

		// Guards against an entry that exits while a claim waits for its result.
		It("waits in Drain for attempts of callers that have disconnected", func() {
			first := h.send("k", "plate")
			run := started(a)
			first.disconnect()
			expectResult(first, outcome.Unknown, outcome.ReasonCanceled)
			drained := make(chan error, 1)
			go func() { drained <- h.dispatcher.Drain(context.Background()) }()
			Consistently(drained).WithTimeout(100 * time.Millisecond).ShouldNot(Receive())
			respond(run, "engraved")
			Eventually(drained).WithTimeout(testTimeout).Should(Receive(BeNil()))
		})

		// Guards against requests that are cut with no answer when the entry stops, and
		// against a "not run" for a request that may have run.
		It("responds when the entry stops before the deadline", func() {
			stopping, stop := context.WithCancelCause(context.Background())
			handle := func(key string, change ...func(*call)) *call {
				c := h.newCall(key, "plate", change...)
				go h.dispatcher.Handle(stopping, &c.Request, c)
				return c
			}
			order, draft := handle("k"), handle("")
			started(a)
			started(a)
			queued := handle("other", func(c *call) { c.Service.Pool = "no such pool" })
			Consistently(queued.ended).WithTimeout(100 * time.Millisecond).ShouldNot(Receive())
			stop(caller.ErrDrainEnded)
			expectResult(order, outcome.Unknown, outcome.ReasonDraining)
			expectResult(draft, outcome.Unknown, outcome.ReasonDraining)
			expectResult(queued, outcome.NotRun, outcome.ReasonDraining)
		})

		// Guards against losing a result if the caller disconnects while the
		// connection to the agent is down.
		It("completes the claim over a new connection after the caller has disconnected", func() {
			first := h.send("k", "plate")
			run := started(a)
			address := a.Identity().Address
			a.Stop()
			Eventually(h.fleet.UsableAgents).WithTimeout(testTimeout).Should(BeZero())
			first.disconnect()
			expectResult(first, outcome.Unknown, outcome.ReasonCanceled)
			Expect(a.Listen(address)).To(Succeed())
			again := reattached(a, run)
			respond(agenttest.Received{Conn: again.Conn, Message: run.Message}, "engraved")
			expectBody(h.send("k", "plate"), "engraved")
			Expect(a.RequestStarts).To(BeEmpty())
		})
	})

	// Guards against losing a result because the agent was unreachable for longer
	// than the caller waits.
	It("completes the claim after the caller received connection_lost", func() {
		a := h.agent("runner-a")
		first := h.send("k", "plate")
		run := started(a)
		address := a.Identity().Address
		a.Stop()
		expectResult(first, outcome.Unknown, outcome.ReasonConnectionLost)
		Expect(a.Listen(address)).To(Succeed())
		again := reattached(a, run)
		respond(agenttest.Received{Conn: again.Conn, Message: run.Message}, "engraved")
		expectBody(h.send("k", "plate"), "engraved")
		Expect(a.RequestStarts).To(BeEmpty())
	})

	// Guards against a request that is queued past its deadline, and against the
	// outcome unknown for a request that was never sent.
	It("responds with not_run at the deadline of a queued request", func() {
		c := h.send("", "plate", within(200*time.Millisecond))
		sent := time.Now()
		expectResult(c, outcome.NotRun, outcome.ReasonDeadline)
		Expect(time.Since(sent)).To(BeNumerically("<", time.Second))
	})

	// Guards against a request that is dispatched as its time limit ends, runs after it, and
	// whose caller does not learn whether it ran.
	It("responds with not_run before the deadline once a request cannot begin in time", func() {
		// The agent becomes usable a second after the last dispatch time.
		const firstFrame, limit = time.Second, 6 * time.Second
		a := h.agent("runner-a")
		first := h.send("", "plate")
		run := started(a)
		time.Sleep(firstFrame)
		respond(run, "engraved")
		expectBody(first, "engraved")
		a.Stop()
		Eventually(h.fleet.UsableAgents).WithTimeout(testTimeout).Should(BeZero())
		answered := make(chan time.Duration, 1)
		sent := time.Now()
		c := h.send("", "cup", within(limit))
		go func() {
			defer GinkgoRecover()
			expectResult(c, outcome.NotRun, outcome.ReasonDeadline)
			answered <- time.Since(sent)
		}()
		time.Sleep(limit - firstFrame/2)
		late := h.agent("runner-b")
		Expect(<-answered).To(BeNumerically("<", limit))
		Consistently(late.RequestStarts, limit/4).ShouldNot(Receive())
	})

	// Guards against a retry on the instance where the first attempt failed.
	It("sends a retry to another instance", func() {
		agents := map[model.InstanceID]*agenttest.Agent{"runner-a": h.agent("runner-a"), "runner-b": h.agent("runner-b")}
		c := h.send("", "plate")
		first, second := agents["runner-a"], agents["runner-b"]
		var run agenttest.Received
		select {
		case run = <-first.RequestStarts:
		case run = <-second.RequestStarts:
			first, second = second, first
		}
		refuse(run, outcome.ReasonDraining)
		respond(started(second), "engraved")
		expectBody(c, "engraved")
		Expect(first.RequestStarts).To(BeEmpty())
	})

	// Guards against sending a request to backend servers after it has crashed
	// two of them.
	It("refuses a quarantined request without sending it", func() {
		a, b := h.agent("runner-a"), h.agent("runner-b")
		f := model.FingerprintOf("desk", "order", []byte("poison"))
		for _, agent := range []*agenttest.Agent{a, b} {
			agent.Broadcast(&wire.CrashReport{Incarnation: 1, InFlight: []model.Fingerprint{f}})
			agent.SetLoad(wire.Load{Queued: 7})
			Eventually(h.fleet.Members).WithTimeout(testTimeout).Should(ContainElement(SatisfyAll(
				HaveField("Identity.Instance", agent.Identity().Instance), HaveField("Heartbeat.Load.Queued", 7))))
		}
		expectResult(h.send("", "poison"), outcome.NotRun, outcome.ReasonQuarantined)
		Expect(a.RequestStarts).To(BeEmpty())
		Expect(b.RequestStarts).To(BeEmpty())
	})
})

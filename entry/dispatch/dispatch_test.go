package dispatch_test

import (
	"context"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/auburnbend/auburnbend/internal/agenttest"
	"github.com/auburnbend/auburnbend/lib/model"
	"github.com/auburnbend/auburnbend/lib/outcome"
	"github.com/auburnbend/auburnbend/lib/wire"
	"github.com/auburnbend/auburnbend/standin/fault"
)

var _ = Describe("A dispatcher", func() {
	var w *world

	BeforeEach(func() { w = newWorld() })

	Describe("with a key", func() {
		var a *agenttest.Agent

		BeforeEach(func() { a = w.agent("runner-a") })

		// Guards against a second run of an order that was answered.
		It("runs the holder and repeats its result", func() {
			first := w.send("k", "plate")
			answer(started(a), "engraved")
			expectBody(first, "engraved")
			expectBody(w.send("k", "plate"), "engraved")
			Expect(a.Starts).To(BeEmpty())
		})

		// Guards against a caller that lost its connection and gets no result
		// though one comes.
		It("waits for the result of the same request that runs", func() {
			first := w.send("k", "plate")
			run := started(a)
			second := w.send("k", "plate")
			Consistently(second.ended).WithTimeout(300 * time.Millisecond).ShouldNot(Receive())
			answer(run, "engraved")
			expectBody(first, "engraved")
			expectBody(second, "engraved")
			Expect(a.Starts).To(BeEmpty())
		})

		// Guards against a key that stays blocked by a request that did not run.
		It("claims a key that was released meanwhile", func() {
			first := w.send("k", "plate")
			run := started(a)
			second := w.send("k", "plate")
			refuse(run, outcome.ReasonDeadline)
			expectResult(first, outcome.NotRun, outcome.ReasonDeadline)
			answer(started(a), "engraved")
			expectBody(second, "engraved")
		})

		// Guards against an order that runs without a claim.
		It("runs nothing while the store is down", func() {
			w.table.Faults.Set(fault.Faults{Down: true})
			c := w.send("k", "plate")
			r := c.result()
			Expect(r.Outcome).To(Equal(outcome.NotRun))
			Expect(r.Reason).To(Equal(outcome.ReasonStoreUnavailable))
			Expect(r.RetryAfter).To(BeNumerically(">", 0))
			Expect(a.Starts).To(BeEmpty())
		})

		// Guards against a final answer that waits for a store which hangs.
		It("answers at the deadline while the store hangs", func() {
			w.table.Faults.Set(fault.Faults{Stall: true})
			c := w.send("k", "plate", within(200*time.Millisecond))
			Eventually(c.ended).WithTimeout(time.Second).Should(Receive(HaveField("Outcome", outcome.NotRun)))
			Expect(a.Starts).To(BeEmpty())
		})

		// Guards against an answer to another request than the caller's.
		It("refuses a key that belongs to other content", func() {
			first := w.send("k", "plate")
			answer(started(a), "engraved")
			expectBody(first, "engraved")
			expectResult(w.send("k", "goblet"), outcome.NotRun, outcome.ReasonInvalid)
			Expect(a.Starts).To(BeEmpty())
		})

		// Guards against a claim that stays without a result because its caller
		// did not wait.
		It("completes the claim after the caller has gone", func() {
			first := w.send("k", "plate")
			run := started(a)
			first.leave()
			expectResult(first, outcome.Unknown, outcome.ReasonCanceled)
			answer(run, "engraved")
			expectBody(w.send("k", "plate"), "engraved")
			Expect(a.Starts).To(BeEmpty())
		})

		// Guards against an entry that exits while a claim waits for its result.
		It("drains only when attempts of callers that have gone are settled", func() {
			first := w.send("k", "plate")
			run := started(a)
			first.leave()
			expectResult(first, outcome.Unknown, outcome.ReasonCanceled)
			drained := make(chan error, 1)
			go func() { drained <- w.dispatcher.Drain(context.Background()) }()
			Consistently(drained).WithTimeout(100 * time.Millisecond).ShouldNot(Receive())
			answer(run, "engraved")
			Eventually(drained).WithTimeout(patience).Should(Receive(BeNil()))
		})

		// Guards against a result that is lost when the caller goes while the
		// connection to the agent is down.
		It("completes the claim over a new connection after the caller has gone", func() {
			first := w.send("k", "plate")
			run := started(a)
			address := a.Identity().Address
			a.Stop()
			Eventually(w.fleet.UsableAgents).WithTimeout(patience).Should(BeZero())
			first.leave()
			expectResult(first, outcome.Unknown, outcome.ReasonCanceled)
			Expect(a.Listen(address)).To(Succeed())
			again := reattached(a, run)
			answer(agenttest.Received{Conn: again.Conn, Message: run.Message}, "engraved")
			expectBody(w.send("k", "plate"), "engraved")
			Expect(a.Starts).To(BeEmpty())
		})
	})

	// Guards against a result that is lost because the agent was away for longer
	// than a caller waits.
	It("completes the claim after the caller was told that the connection is lost", func() {
		a := w.agent("runner-a")
		first := w.send("k", "plate")
		run := started(a)
		address := a.Identity().Address
		a.Stop()
		expectResult(first, outcome.Unknown, outcome.ReasonConnectionLost)
		Expect(a.Listen(address)).To(Succeed())
		again := reattached(a, run)
		answer(agenttest.Received{Conn: again.Conn, Message: run.Message}, "engraved")
		expectBody(w.send("k", "plate"), "engraved")
		Expect(a.Starts).To(BeEmpty())
	})

	// Guards against a request that waits in the queue past its deadline, and
	// against one that is called unknown though it never left.
	It("answers not run at the deadline of a queued request", func() {
		c := w.send("", "plate", within(200*time.Millisecond))
		sent := time.Now()
		expectResult(c, outcome.NotRun, outcome.ReasonDeadline)
		Expect(time.Since(sent)).To(BeNumerically("<", time.Second))
	})

	// Guards against a retry that meets the fault of its first attempt again.
	It("sends a retry to another instance", func() {
		agents := map[model.InstanceID]*agenttest.Agent{"runner-a": w.agent("runner-a"), "runner-b": w.agent("runner-b")}
		c := w.send("", "plate")
		first, second := agents["runner-a"], agents["runner-b"]
		var run agenttest.Received
		select {
		case run = <-first.Starts:
		case run = <-second.Starts:
			first, second = second, first
		}
		refuse(run, outcome.ReasonDraining)
		answer(started(second), "engraved")
		expectBody(c, "engraved")
		Expect(first.Starts).To(BeEmpty())
	})

	// Guards against a request that reaches backend servers after it crashed two.
	It("refuses a quarantined request without sending it", func() {
		a, b := w.agent("runner-a"), w.agent("runner-b")
		f := model.FingerprintOf("desk", "order", []byte("poison"))
		for _, one := range []*agenttest.Agent{a, b} {
			one.Broadcast(&wire.CrashReport{Incarnation: 1, InFlight: []model.Fingerprint{f}})
			one.SetLoad(wire.Load{Queued: 7})
			Eventually(w.fleet.Members).WithTimeout(patience).Should(ContainElement(SatisfyAll(
				HaveField("Identity.Instance", one.Identity().Instance), HaveField("Heartbeat.Load.Queued", 7))))
		}
		expectResult(w.send("", "poison"), outcome.NotRun, outcome.ReasonQuarantined)
		Expect(a.Starts).To(BeEmpty())
		Expect(b.Starts).To(BeEmpty())
	})
})

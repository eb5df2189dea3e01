package deployment_test

import (
	"context"
	"fmt"
	"math/rand"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/auburnbend/auburnbend/internal/deployment"
	"github.com/auburnbend/auburnbend/lib/model"
)

var _ = Describe("An entry whose drain timeout ends", func() {
	const (
		// drainTimeout is short against the time that the long answers take.
		drainTimeout = 2 * time.Second
		longAnswer   = 100_000
		callers      = 8
		// afterLag is when the entry accepts no requests any more that can be repeated.
		afterLag = 700 * time.Millisecond
	)

	It("has answered every request before it ends", func() {
		// Guards against requests that are passed on and cut with no answer when the process
		// exits, and against ones that are taken though they cannot end before.
		ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
		DeferCleanup(cancel)
		d, _ := startLive(ctx, deployment.Options{
			Domains: []model.FailureDomain{"kigali"}, EntriesPerDomain: 1, AgentsPerDomain: 2, ServicesPerDomain: 1,
			ModelBytes: 1 << 18, ChunkBytes: 64 << 10, TransferWindow: time.Second, EngineTimeScale: 1, Seed: 1,
		})
		send := func(call deployment.Call) deployment.Answer {
			// The connection of the first call may be closed by the time of a later one.
			client := deployment.NewClient()
			defer client.Close()
			call.Tenant = deployment.TenantSmall
			return client.Send(ctx, d.Entries[0].URL, call)
		}
		draft := func(id string, tokens int, stream bool) deployment.Call {
			return deployment.Call{Service: deployment.DraftService, RequestID: id, Body: deployment.DraftBody(rand.New(rand.NewSource(1)), tokens), Stream: stream}
		}
		order := func(id string) deployment.Call {
			return deployment.Call{Service: deployment.OrderService, RequestID: id, IdempotencyKey: id, Body: []byte(id)}
		}
		for _, call := range []deployment.Call{draft("ready", 2, true), order("ready")} {
			Eventually(func() string { return send(call).Outcome }).WithTimeout(settleTime).Should(Equal(completed))
		}
		answers := make(chan deployment.Answer, callers)
		for i := range callers {
			go func() { answers <- send(draft(fmt.Sprintf("long-%d", i), longAnswer, i%2 == 0)) }()
		}
		for i := range callers {
			Eventually(func() int { return d.DraftRuns(fmt.Sprintf("long-%d", i)) }).WithTimeout(settleTime).Should(Equal(1))
		}
		late := make(chan deployment.Answer, 2)
		time.AfterFunc(afterLag, func() { late <- send(draft("late-draft", longAnswer, true)) })
		time.AfterFunc(afterLag, func() { late <- send(order("late-order")) })
		drainCtx, cancelDrain := context.WithTimeout(ctx, drainTimeout)
		defer cancelDrain()
		start := time.Now()
		err := d.Entries[0].Stop(drainCtx)
		// The process would exit now.
		Expect(time.Since(start)).To(BeNumerically("<", drainTimeout+time.Second/2))
		time.Sleep(100 * time.Millisecond)
		Expect(answers).To(HaveLen(callers), "answered when the process exits")
		for range callers {
			a := <-answers
			Expect(a.Outcome).To(Equal("unknown"), "%s: %s", a.RequestID, a.Reason)
		}
		Expect(late).To(HaveLen(2), "answered when the process exits")
		for range 2 {
			a := <-late
			Expect(a.Outcome).To(Equal("not_run"), "%s: %s", a.RequestID, a.Reason)
			Expect(a.Reason).To(Equal("draining"))
		}
		Expect(d.DraftRuns("late-draft")).To(BeZero())
		Expect(err).NotTo(HaveOccurred())
	})
})

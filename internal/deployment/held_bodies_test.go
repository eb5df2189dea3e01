package deployment_test

import (
	"bytes"
	"context"
	"fmt"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/auburnbend/auburnbend/internal/deployment"
	"github.com/auburnbend/auburnbend/lib/memory"
	"github.com/auburnbend/auburnbend/lib/model"
)

var _ = Describe("Long bodies beyond the memory of a deployment", func() {
	DescribeTable("each get one answer, and none that has run is lost",
		// Guards against requests whose body finds no room on the way and that are lost, run
		// twice, or are said not to have run although they have.
		func(entryBytes, agentBytes int64, refuses bool) {
			const callers, rounds, size = 60, 4, 64 << 10
			ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
			DeferCleanup(cancel)
			d, _ := startLive(ctx, deployment.Options{
				Domains: []model.FailureDomain{"kigali"}, EntriesPerDomain: 1, AgentsPerDomain: 1, ServicesPerDomain: 2,
				ModelBytes: 1 << 18, ChunkBytes: 64 << 10, TransferWindow: time.Second, EngineTimeScale: 1, Seed: 1,
				EntryBodyBytes: entryBytes, AgentBodyBytes: agentBytes,
			})
			client := deployment.NewClient()
			DeferCleanup(client.Close)
			send := func(id, tenant string, size int) deployment.Answer {
				return client.Send(ctx, d.Entries[0].URL, deployment.Call{
					Service: deployment.OrderService, Tenant: tenant, RequestID: id, IdempotencyKey: id, Body: bytes.Repeat([]byte("x"), size),
				})
			}
			tries := 0
			Eventually(func() string {
				tries++
				return send(fmt.Sprint("ready-", tries), deployment.TenantSmall, 1).Outcome
			}).WithTimeout(settleTime).Should(Equal(completed))
			answers := make(chan deployment.Answer, callers*rounds)
			var sending sync.WaitGroup
			for i := range callers {
				sending.Go(func() {
					for round := range rounds {
						answers <- send(fmt.Sprintf("long-%d-%d", i, round), deployment.TenantLarge, size)
					}
				})
			}
			for i := range 20 {
				Expect(send(fmt.Sprint("short-", i), deployment.TenantSmall, 100).Outcome).To(Equal(completed), "a short body of another tenant")
			}
			sending.Wait()
			outcomes := make(map[string]int)
			for range callers * rounds {
				a := <-answers
				runs := d.OrderRuns(a.RequestID)
				switch a.Outcome {
				case completed:
					Expect(runs).To(Equal(1), a.RequestID)
				case "not_run":
					Expect(runs).To(BeZero(), "%s: %s", a.RequestID, a.Reason)
				default:
					Fail(fmt.Sprintf("%s: %s %s after %d runs", a.RequestID, a.Outcome, a.Reason, runs))
				}
				outcomes[a.Outcome+" "+a.Reason]++
			}
			GinkgoWriter.Println(outcomes)
			budgets := []*memory.Budget{d.Entries[0].Entry.Budgets()["request"]}
			for _, a := range d.Agents {
				budgets = append(budgets, a.Agent.Budgets()["request"])
			}
			var refused int64
			for _, b := range budgets {
				refused += b.Delayed()
				Eventually(b.Held).Should(BeZero())
			}
			Expect(refused > 0).To(Equal(refuses), "%v", outcomes)
			Expect(outcomes[completed+" "]).To(BeNumerically(">", 0), "%v", outcomes)
		},
		Entry("of the entry", int64(300<<10), int64(0), true),
		Entry("of the agents", int64(0), int64(150<<10), true),
		Entry("of neither", int64(0), int64(0), false),
	)
})

package deployment_test

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/go-kit/log"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/auburnbend/auburnbend/internal/deployment"
	"github.com/auburnbend/auburnbend/lib/eventlog"
	"github.com/auburnbend/auburnbend/lib/model"
)

var _ = Describe("A service that names a rate limit", func() {
	const (
		perSecond  = 2.0
		window     = 4 * time.Second
		maxRatio   = 1.5
		slack      = 5
		callsEvery = 40 * time.Millisecond
	)

	It("gets no more than that from all entries together, while another one serves the rest", func() {
		// Guards against entries and agents that ignore the limit or keep to it one by one.
		ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
		DeferCleanup(cancel)
		d, err := deployment.Start(deployment.Options{
			Domains: []model.FailureDomain{"kigali", "huye"}, EntriesPerDomain: 2, ServicesPerDomain: 1,
			ModelBytes: 1 << 20, ChunkBytes: 64 << 10, TransferWindow: time.Second, StagingDir: GinkgoT().TempDir(), Seed: 1,
		}, eventlog.New(log.NewLogfmtLogger(log.NewSyncWriter(GinkgoWriter))))
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(d.Close)
		client := deployment.NewClient()
		DeferCleanup(client.Close)
		order := func(entry, number int) deployment.Answer {
			name := fmt.Sprintf("order-%d-%d", entry, number)
			return client.Send(ctx, d.Entries[entry].URL, deployment.Call{
				Service: deployment.OrderService, Tenant: deployment.TenantSmall, RequestID: name, IdempotencyKey: name, Body: []byte(name),
			})
		}
		_, err = d.PublishAndPlace(ctx, "v1")
		Expect(err).NotTo(HaveOccurred())
		for entry := range d.Entries {
			Eventually(func() string { return order(entry, 0).Outcome }).WithTimeout(settleTime).Should(Equal(completed))
		}
		limited := d.Agents[0].Service
		limited.SetRateLimit(perSecond)

		var mu sync.Mutex
		outcomes := make(map[string]int)
		send := func(duration time.Duration) {
			var callers sync.WaitGroup
			end := time.Now().Add(duration)
			for entry := range d.Entries {
				callers.Add(1)
				go func() {
					defer callers.Done()
					for n := 1; time.Now().Before(end); n++ {
						a := order(entry, int(duration)+n)
						mu.Lock()
						outcomes[a.Outcome+" "+a.Reason]++
						mu.Unlock()
						time.Sleep(callsEvery)
					}
				}()
			}
			callers.Wait()
		}
		send(time.Second)
		before := limited.CallCount()
		send(window)
		AddReportEntry("calls of the limited service", limited.CallCount()-before)
		AddReportEntry("outcomes", outcomes)
		Expect(float64(limited.CallCount() - before)).To(BeNumerically("<=", maxRatio*perSecond*window.Seconds()+slack))
		Expect(limited.CallCount()).To(BeNumerically(">", before))
		Expect(outcomes).To(HaveLen(1))
		Expect(outcomes).To(HaveKey("completed "))
	})
})

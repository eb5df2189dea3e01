package deployment_test

import (
	"context"
	"fmt"
	"time"

	"github.com/go-kit/log"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/auburnbend/auburnbend/internal/deployment"
	"github.com/auburnbend/auburnbend/lib/eventlog"
	"github.com/auburnbend/auburnbend/lib/model"
	"github.com/auburnbend/auburnbend/standin/service"
)

var _ = Describe("A plain service whose responses have no valid status", func() {
	It("has run the request for all that its caller learns", func() {
		// Guards against a response that no server may send, and against a caller that is
		// told that the request has not run.
		ctx, cancel := context.WithTimeout(context.Background(), 2*time.Minute)
		DeferCleanup(cancel)
		d, err := deployment.Start(deployment.Options{
			Domains: []model.FailureDomain{"kigali"}, EntriesPerDomain: 1, ServicesPerDomain: 1,
			ModelBytes: 1 << 20, ChunkBytes: 64 << 10, TransferWindow: time.Second, StagingDir: GinkgoT().TempDir(), Seed: 1,
		}, eventlog.New(log.NewLogfmtLogger(log.NewSyncWriter(GinkgoWriter))))
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(d.Close)
		client := deployment.NewClient()
		DeferCleanup(client.Close)
		number := 0
		// order sends orders until one has run.
		order := func() deployment.Answer {
			for ctx.Err() == nil {
				number++
				name := fmt.Sprint("order-", number)
				answer := client.Send(ctx, d.Entries[0].URL, deployment.Call{Service: deployment.OrderService, Tenant: deployment.TenantSmall, RequestID: name, Body: []byte(name)})
				if d.OrderRuns(name) > 0 {
					return answer
				}
				time.Sleep(50 * time.Millisecond)
			}
			Fail("no order has run")
			return deployment.Answer{}
		}
		_, err = d.PublishAndPlace(ctx, "v1")
		Expect(err).NotTo(HaveOccurred())
		Eventually(func() string { return order().Outcome }).WithTimeout(settleTime).Should(Equal(completed))

		within := "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwrong"
		var reached []string
		variants := 0
		for _, status := range []string{"000 OK", "0 OK", "99 OK", "101 OK", "199 OK", "600 OK", "700 OK", "999 OK", "1000 OK", "20 OK", "+200 OK", " 200 OK", "2 0 OK"} {
			for _, interim := range []string{"", "HTTP/1.1 100 Continue\r\n\r\n", "HTTP/1.1 103 Early Hints\r\n\r\n"} {
				for _, body := range []string{"Content-Length: 5\r\n\r\nwrong", fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(within), within)} {
					variants++
					d.Agents[0].Service.SetFaults(service.Faults{RawReply: interim + "HTTP/1.1 " + status + "\r\n" + body})
					if a := order(); a.Outcome != "unknown" {
						reached = append(reached, fmt.Sprintf("%q after %.12q: %s %q", status, interim, a.Outcome, a.Body))
					}
				}
			}
		}
		Expect(reached).To(BeEmpty(), fmt.Sprintf("%d of %d variants", len(reached), variants))
		d.Agents[0].Service.SetFaults(service.Faults{})
		Eventually(func() string { return order().Outcome }).WithTimeout(settleTime).Should(Equal(completed))
	})
})

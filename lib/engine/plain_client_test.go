package engine_test

import (
	"context"
	"errors"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/auburnbend/auburnbend/lib/engine"
	"github.com/auburnbend/auburnbend/standin/service"
)

var _ = Describe("PlainClient", func() {
	var server *service.Server
	var client *engine.PlainClient
	ctx := context.Background()
	req := engine.PlainRequest{ID: "r1", Service: "orders", IdempotencyKey: "k1", ContentType: "application/json", Body: []byte(`{"sign":3}`)}

	BeforeEach(func() {
		var err error
		server, err = service.Start(service.Config{})
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(server.Close)
		client, err = engine.NewPlainClient(engine.Config{Address: server.URL()})
		Expect(err).NotTo(HaveOccurred())
	})

	It("returns the response for its idempotency key", func() {
		response, err := client.Call(ctx, req)
		Expect(err).NotTo(HaveOccurred())
		Expect(response.Status).To(Equal(200))
		Expect(response.ContentType).To(HavePrefix("application/json"))
		Expect(response.Body).To(Equal(service.ExpectedResponse("/orders", "k1", req.Body)))
	})

	// Guards against retrying a call that may have run.
	DescribeTable("reports whether a failed call may have run", func(f service.Faults, notStarted bool, runs int) {
		server.SetFaults(f)
		_, err := client.Call(ctx, req)
		Expect(err).To(HaveOccurred())
		Expect(engine.NotStarted(err)).To(Equal(notStarted))
		Expect(server.RunCount("k1")).To(Equal(runs))
	},
		Entry("rejected before the run", service.Faults{Refuse: 1}, true, 0),
		Entry("response dropped after the run", service.Faults{DropReply: 1}, false, 1),
		Entry("response truncated", service.Faults{TruncateReply: 1}, false, 1),
	)

	It("returns an error status of the service as a response", func() {
		server.SetFaults(service.Faults{Fail: 1})
		response, err := client.Call(ctx, req)
		Expect(err).NotTo(HaveOccurred())
		Expect(response.Status).To(Equal(500))
	})

	It("never sends a call twice over a connection that was closed while idle", func() {
		for range 20 {
			_, err := client.Call(ctx, req)
			Expect(err).NotTo(HaveOccurred())
		}
		server.SetFaults(service.Faults{DropReply: 1})
		_, err := client.Call(ctx, req)
		Expect(errors.Is(err, engine.ErrMayHaveRun)).To(BeTrue())
		Expect(server.RunCount("k1")).To(Equal(21))
	})

	It("reports a call that exceeds its deadline as possibly run", func() {
		server.SetFaults(service.Faults{Delay: time.Second})
		short, cancel := context.WithTimeout(ctx, 20*time.Millisecond)
		defer cancel()
		_, err := client.Call(short, req)
		Expect(errors.Is(err, engine.ErrMayHaveRun)).To(BeTrue())
	})

	It("distinguishes a service without load reports from an unavailable one", func() {
		_, err := client.Load(ctx)
		Expect(errors.Is(err, engine.ErrNoLoadReport)).To(BeTrue())
		Expect(server.Close()).To(Succeed())
		_, err = client.Load(ctx)
		Expect(errors.Is(err, engine.ErrUnavailable)).To(BeTrue())
		Expect(errors.Is(err, engine.ErrNoLoadReport)).To(BeFalse())
	})

	It("reads load reports that are delayed by the configured lag", func() {
		const lag = 300 * time.Millisecond
		lagging, err := service.Start(service.Config{Capacity: 4, LoadLag: lag, Delay: time.Second})
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(lagging.Close)
		client, err := engine.NewPlainClient(engine.Config{Address: lagging.URL()})
		Expect(err).NotTo(HaveOccurred())
		done := make(chan struct{})
		go func() {
			defer close(done)
			_, _ = client.Call(ctx, req)
		}()
		Eventually(lagging.Running).Should(Equal(1))
		started := time.Now()
		Eventually(func() int {
			r, err := client.Load(ctx)
			Expect(err).NotTo(HaveOccurred())
			Expect(r.Capacity).To(Equal(4))
			Expect(r.Age()).To(Equal(lag))
			return r.Running
		}, 5*time.Second, 10*time.Millisecond).Should(Equal(1))
		// Polling Running detects the call up to 10 ms after its start.
		Expect(time.Since(started)).To(BeNumerically(">", lag/2))
		Eventually(done, 5*time.Second).Should(BeClosed())
	})
})

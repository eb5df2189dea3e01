package agent

import (
	"context"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/auburnbend/auburnbend/lib/clock"
	"github.com/auburnbend/auburnbend/lib/engine"
	"github.com/auburnbend/auburnbend/lib/wire"
	"github.com/auburnbend/auburnbend/standin/service"
)

var _ = Describe("the load of a plain service", func() {
	observed := func(cfg service.Config) (*plainServer, *clock.Fake, *service.Server) {
		server, err := service.Start(cfg)
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(server.Close)
		client, err := engine.NewPlainClient(engine.Config{Address: server.URL()})
		Expect(err).NotTo(HaveOccurred())
		now := clock.NewFake(time.Unix(1_800_000_000, 0))
		p := newPlainServer(client, Config{Clock: now, Capacity: 9})
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan struct{})
		go func() {
			defer close(done)
			p.observe(ctx)
		}()
		DeferCleanup(func() {
			cancel()
			<-done
		})
		return p, now, server
	}

	// Guards against routing by calls in flight alone, which misses the work that
	// other callers give the service.
	It("is what the service reports, and ages when the reports end", func() {
		const lag = 50 * time.Millisecond
		p, now, server := observed(service.Config{Capacity: 4, LoadLag: lag, Delay: time.Minute})
		other, err := engine.NewPlainClient(engine.Config{Address: server.URL()})
		Expect(err).NotTo(HaveOccurred())
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan struct{})
		go func() {
			defer close(done)
			_, _ = other.Call(ctx, engine.PlainRequest{ID: "r1", Service: "orders", Body: []byte("{}")})
		}()
		DeferCleanup(func() {
			cancel()
			<-done
		})
		Eventually(p.load, 5*time.Second).Should(Equal(wire.Load{Running: 1, Capacity: 4, AgeMillis: 50}))
		Expect(server.Close()).To(Succeed())
		now.Advance(3 * time.Second)
		Expect(p.load()).To(Equal(wire.Load{Running: 1, Capacity: 4, AgeMillis: 3050}))
	})

	// Guards against a capacity of 0, which would take the instance out of
	// routing, for services that report no load.
	It("is the configured capacity when the service reports none", func() {
		p, _, _ := observed(service.Config{})
		Consistently(p.load, 2*observeInterval).Should(Equal(wire.Load{Capacity: 9}))
	})
})

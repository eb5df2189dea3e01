package agent

import (
	"context"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strconv"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/auburnbend/auburnbend/lib/clock"
	"github.com/auburnbend/auburnbend/lib/engine"
	"github.com/auburnbend/auburnbend/lib/wire"
	"github.com/auburnbend/auburnbend/standin/service"
)

var _ = Describe("The load of a plain service", func() {
	startPolling := func(cfg service.Config) (*plainServer, *clock.Fake, *service.Server) {
		server, err := service.Start(cfg)
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(server.Close)
		client, err := engine.NewPlainClient(engine.Config{Address: server.URL()})
		Expect(err).NotTo(HaveOccurred())
		clk := clock.NewFake(time.Unix(1_800_000_000, 0))
		p := newPlainServer(client, Config{Clock: clk, Capacity: 9})
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan struct{})
		go func() {
			defer close(done)
			p.poll(ctx)
		}()
		DeferCleanup(func() {
			cancel()
			<-done
		})
		return p, clk, server
	}

	// Guards against routing by the agent's own calls in flight, which do not include
	// the calls of other clients of the service.
	It("is the service's report, whose age grows once the service stops reporting", func() {
		const lag = 50 * time.Millisecond
		p, clk, server := startPolling(service.Config{Capacity: 4, LoadLag: lag, Delay: time.Minute})
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
		clk.Advance(3 * time.Second)
		Expect(p.load()).To(Equal(wire.Load{Running: 1, Capacity: 4, AgeMillis: 3050}))
	})

	// Guards against a capacity of 0 for services that report no load, which would
	// exclude the instance from routing.
	It("includes the configured capacity if the service reports no load", func() {
		p, _, _ := startPolling(service.Config{})
		Consistently(p.load, 2*pollInterval).Should(Equal(wire.Load{Capacity: 9}))
	})
})

var _ = Describe("The response of a plain service", func() {
	It("waits in the service's connection and not in memory", func() {
		// Guards against agents that hold whole responses of 64 MiB, each of them once more
		// than its frames.
		const size, part = 60 << 20, 1 << 20
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Length", strconv.Itoa(size))
			for range size / part {
				if _, err := w.Write(make([]byte, part)); err != nil {
					return
				}
			}
		}))
		DeferCleanup(server.Close)
		client, err := engine.NewPlainClient(engine.Config{Address: server.URL})
		Expect(err).NotTo(HaveOccurred())
		p := newPlainServer(client, Config{Clock: clock.System{}, Capacity: 9})
		var received int
		var paused, held int64
		live := func() int64 {
			runtime.GC()
			var stats runtime.MemStats
			runtime.ReadMemStats(&stats)
			return int64(stats.HeapAlloc)
		}
		before := live()
		status, _, err := p.Run(context.Background(), wire.RequestStart{Request: "r", Service: "s"}, func(data []byte) error {
			if received += len(data); received > size/2 && paused == 0 {
				paused = 1
				time.Sleep(100 * time.Millisecond)
				held = live() - before
			}
			return nil
		})
		Expect(err).NotTo(HaveOccurred())
		Expect(status).To(Equal(http.StatusOK))
		Expect(received).To(Equal(size))
		Expect(held).To(BeNumerically("<", 8<<20), "bytes held, both ends")
	})
})

package node

import (
	"context"
	"errors"
	"log"
	"math/rand/v2"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/auburnbend/auburnbend/gateway"
	"github.com/auburnbend/auburnbend/lib/clock"
	"github.com/auburnbend/auburnbend/lib/eventlog"
	"github.com/auburnbend/auburnbend/lib/placement"
	"github.com/auburnbend/auburnbend/lib/retry"
	"github.com/auburnbend/auburnbend/platform"
)

const (
	// balancerNotice is the time in which the balancer stops sending new
	// connections to an entry that is not ready: it asks once a second and acts
	// on two misses.
	balancerNotice = 3 * time.Second
	// stopReserve is the part of the time to stop that is left for the end of
	// the process itself.
	stopReserve = 700 * time.Millisecond
	// assumedEntries share the retry budget before agents tell how many entries
	// there are. Too many only make the share smaller.
	assumedEntries = 16
	// bodyMemoryPart is the part of the process's memory that whole answers may take.
	bodyMemoryPart = 8
	// headTimeout bounds the time of a request's head, idleTimeout the time
	// between requests of a connection. Callers keep connections idle for up to
	// four fifths of the declared limit; both are above what is declared.
	headTimeout = 10 * time.Second
	idleTimeout = 60 * time.Second
	// headLimit bounds a request's head in bytes, above what is declared.
	headLimit = 64 << 10
)

// RunGateway serves callers until ctx ends, and then finishes what runs.
func RunGateway(ctx context.Context, p Environment) error {
	s := p.Settings
	if s.CallerAddress == "" || s.ReadyAddress == "" {
		return errors.New("the settings name no addresses for callers and readiness")
	}
	m, err := openMetrics(s.Address, p.MetricsPort)
	if err != nil {
		return err
	}
	defer m.Close()
	requests := newRequestLog(p.Log, m, clock.System{})
	g := gateway.New(gateway.Config{
		Dialect: platform.Dialect{}, Clock: clock.System{}, Log: p.Log, Observe: requests.observe,
		Retry:   retryBounds(&s.Bounds),
		Entries: assumedEntries, Seed: rand.Uint64(), MaxRolloutTime: s.Bounds.VersionTime,
		MaxBufferedBytes: s.MemoryLimit / bodyMemoryPart,
		Placement:        placement.Config{Domain: s.Domain, Regions: s.Regions},
	})
	background, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	loads, err := gateway.NewPeerLink(g, s.Instance, s.Region, s.Address, s.FirstPort, rand.Uint64())
	if err != nil {
		return err
	}
	tables, err := newStoreTables(g, loads, s, p.Log)
	if err != nil {
		return err
	}
	operator := &gatewayOperator{gateway: g, log: p.Log}
	if err := m.observeState(g, &operator.storeLost); err != nil {
		return err
	}
	go tables.run(background)
	go tables.follow(background, platform.TableOperator, operatorRelay(&s.Bounds), &platform.OperatorWatch{Sink: operator})
	go tables.follow(background, platform.TableServers, serversRelay(&s.Bounds), &platform.ServerWatch{Sink: &gatewayServers{gateway: g, log: p.Log}})
	go loads.Run(background)
	stopTime := &atomic.Int64{}
	stopTime.Store(int64(s.Bounds.StopTime))
	p.followSettings(background, func(s *platform.Settings) {
		g.SetBounds(retryBounds(&s.Bounds), s.Bounds.VersionTime)
		stopTime.Store(int64(s.Bounds.StopTime))
	})
	return serveCallers(ctx, g, p, stopTime)
}

func retryBounds(b *platform.Bounds) retry.Config {
	return retry.Config{Ratio: b.RetryRatio, Window: b.RetryWindow, Slack: b.RetrySlack}
}

// serveCallers listens until ctx ends, then until the balancer has noticed, and
// returns when all requests have ended or the time to stop, in nanoseconds, is
// over.
func serveCallers(ctx context.Context, g *gateway.Gateway, p Environment, stopTime *atomic.Int64) error {
	s := p.Settings
	quiet := log.New(discard{}, "", 0)
	callers := &http.Server{
		Handler: g, ReadHeaderTimeout: headTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: headLimit, ErrorLog: quiet,
	}
	ready := &http.Server{Handler: platform.ReadyHandler(g.Ready), ReadHeaderTimeout: headTimeout, IdleTimeout: idleTimeout, ErrorLog: quiet}
	failed := make(chan error, 2)
	for _, server := range []struct {
		*http.Server
		address string
	}{{callers, s.CallerAddress}, {ready, s.ReadyAddress}} {
		ln, err := listenCallers(server.address)
		if err != nil {
			return err
		}
		go func() { failed <- server.Serve(ln) }()
	}
	defer ready.Close()
	defer callers.Close()
	select {
	case err := <-failed:
		return err
	case <-ctx.Done():
	}
	stopping := time.Now()
	g.Drain()
	p.Log.Log(eventlog.ProcessStopping, "open", g.OpenRequests())
	time.Sleep(balancerNotice)
	limit := max(time.Duration(stopTime.Load())-stopReserve, balancerNotice)
	drainCtx, cancel := context.WithDeadline(context.Background(), stopping.Add(limit))
	defer cancel()
	if err := callers.Shutdown(drainCtx); err != nil {
		p.Log.Log(eventlog.DrainUnfinished, "open", g.OpenRequests(), "err", err)
	}
	return nil
}

// discard drops the HTTP library's own lines; what matters is logged as events.
type discard struct{}

func (discard) Write(p []byte) (int, error) { return len(p), nil }

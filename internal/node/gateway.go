package node

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/spf13/pflag"

	"github.com/auburnbend/auburnbend/gateway"
	"github.com/auburnbend/auburnbend/lib/clock"
	"github.com/auburnbend/auburnbend/lib/connlimit"
	"github.com/auburnbend/auburnbend/lib/eventlog"
	"github.com/auburnbend/auburnbend/lib/pause"
	"github.com/auburnbend/auburnbend/lib/placement"
	"github.com/auburnbend/auburnbend/lib/retry"
	"github.com/auburnbend/auburnbend/lib/rowage"
	"github.com/auburnbend/auburnbend/lib/watch"
	"github.com/auburnbend/auburnbend/platform"
)

const (
	// assumedEntries is the number of entries that share the retry budget until
	// agents report the actual number. If it is too high, the entry's share of the
	// budget is only smaller than necessary.
	assumedEntries = 16
	// bufferMemoryDivisor determines the part of the process's memory that buffered
	// responses may take together: one eighth.
	bufferMemoryDivisor = 8
	// bodyMemoryDivisor determines the part that long bodies of requests may take together:
	// a third. With the responses it stays below the soft limit of the heap.
	bodyMemoryDivisor = 3
	// headerTimeout limits reading the header of a request, and idleTimeout the time
	// between two requests on a connection. Both are above the declared limits;
	// callers keep connections idle for up to four fifths of the declared one.
	headerTimeout = 10 * time.Second
	idleTimeout   = 60 * time.Second
	// maxHeaderBytes limits the size of a request's header. It is above the declared
	// limit.
	maxHeaderBytes = 64 << 10
)

// GatewayFlags adds the flags of an entry.
func GatewayFlags(flags *pflag.FlagSet, env *Environment) {
	flags.BoolVar(&env.WaitForPlacement, "wait-for-placement", false, "keep requests that no server can take now, for overload or missing weights, for a part of their time; they are mostly answered late")
}

// RunGateway serves callers until ctx ends. It then finishes the requests in progress
// and returns.
func RunGateway(ctx context.Context, env Environment) error {
	s := env.Settings
	if s.CallerAddress == "" || s.ReadyAddress == "" {
		return errors.New("settings: listen.frontend and listen.ready are required")
	}
	m, err := openMetrics(s, env.MetricsPort)
	if err != nil {
		return err
	}
	defer m.Close()
	requests := newRequestLog(env.Log, m, clock.System{})
	g := gateway.New(gateway.Config{
		Name: s.Instance, Dialect: platform.Dialect{}, Clock: clock.System{}, Log: env.Log, Observe: requests.observe,
		Retry:   retryConfig(&s.Bounds),
		Entries: assumedEntries, Seed: rand.Uint64(), MaxRolloutTime: s.Bounds.VersionTime, StartGrace: max(0, s.Bounds.StallTime-applyReserve),
		MaxBufferedBytes: s.MemoryLimit / bufferMemoryDivisor,
		MaxBodyBytes:     s.MemoryLimit / bodyMemoryDivisor,
		MaxLingering:     newConnLimits(s).lingering,
		Placement:        placement.Config{Domain: s.Domain, Regions: s.Regions, WaitForPlacement: env.WaitForPlacement},
	})
	background, stop := context.WithCancel(context.WithoutCancel(ctx))
	// The goroutines in running have closed their ports when they return.
	var running sync.WaitGroup
	defer func() {
		stop()
		running.Wait()
	}()
	peerLink, err := gateway.NewPeerLink(g, s.Instance, s.Region, s.Address, s.FirstPort, rand.Uint64())
	if err != nil {
		return err
	}
	peerLink.CutOff(env.isCutOff)
	running.Go(func() { peerLink.Run(background) })
	pauses := pause.NewMonitor(clock.System{}, clock.Boot{}, g.Suspended)
	running.Go(func() { pauses.Run(background) })
	tables, err := newStoreTables(g, peerLink, s, env.Log)
	if err != nil {
		return err
	}
	running.Go(func() { tables.run(background) })
	operator := &operatorSink{gateway: g, log: env.Log, clock: clock.Boot{}}
	if err := m.registerStateMetrics(g, &operator.storeUnavailable); err != nil {
		return err
	}
	go tables.follow(background, platform.TableOperator, operatorRelayConfig(&s.Bounds), rowage.NewTracker(pauses), OperatorWatchConfig(&s.Bounds), &platform.OperatorWatch{Sink: operator})
	serversRelay := serversRelayConfig(&s.Bounds)
	go tables.follow(background, platform.TableServers, serversRelay, nil, watch.Config{LongPollTimeout: serversRelay.LongPollTimeout}, &platform.ServerWatch{Sink: &serverSink{gateway: g, log: env.Log, rowRemovalTime: s.RowRemovalTime()}})
	stopTime := &atomic.Int64{}
	stopTime.Store(int64(s.Bounds.StopTime))
	env.watchSettings(background, func(s *platform.Settings) {
		g.SetBounds(retryConfig(&s.Bounds), s.Bounds.VersionTime)
		stopTime.Store(int64(s.Bounds.StopTime))
	})
	return serveCallers(ctx, g, env, m, stopTime)
}

func retryConfig(b *platform.Bounds) retry.Config {
	return retry.Config{Ratio: b.RetryRatio, Window: b.RetryWindow, Slack: b.RetrySlack}
}

// serveCallers accepts callers until ctx ends and then for balancerReactionTime at most. It
// returns when all requests have ended and backend servers that have answered have taken the
// whole of them, at the latest shortly before stopTime, in nanoseconds, has passed since ctx
// ended. Before that, requests that are still in progress get an answer.
func serveCallers(ctx context.Context, g *gateway.Gateway, env Environment, m *metrics, stopTime *atomic.Int64) error {
	s := env.Settings
	limits := newConnLimits(s)
	callerListener, err := listenCallers(s.CallerAddress, limits.callers, limits.headBytes)
	if err != nil {
		return err
	}
	readyListener, err := net.Listen("tcp", s.ReadyAddress)
	if err != nil {
		// Close would first wait for pending connections to be accepted.
		return errors.Join(err, callerListener.TCPListener.Close())
	}
	ready := connlimit.Listen(readyListener, limits.ready)
	if err := connlimit.Observe(m.meter, map[string]*connlimit.Limiter{"callers": callerListener.limiter, "ready": ready.Limiter}); err != nil {
		return errors.Join(err, callerListener.TCPListener.Close(), ready.Close())
	}
	readyDone := make(chan error, 1)
	callers := startCallerServer(g, callerListener)
	readyServer := newCheckServer(platform.ReadyHandler(g.Ready))
	go func() { readyDone <- readyServer.Serve(ready) }()
	defer readyServer.Close()
	defer callers.http.Close()
	select {
	case err := <-callers.done:
		return err
	case err := <-readyDone:
		return err
	case <-ctx.Done():
	}
	schedule := &stopSchedule{signalledAt: time.Now(), stopTime: stopTime}
	g.Drain()
	env.Log.Log(eventlog.ProcessStopping, "open", g.OpenRequests())
	drainCtx, cancel := context.WithCancel(context.Background())
	defer cancel()
	// Closing the listener again would interrupt the accepting of pending connections.
	go schedule.run(drainCtx, g, sync.OnceFunc(func() { _ = callerListener.Close() }), cancel)
	if err := callers.drain(drainCtx); err != nil {
		env.Log.Log(eventlog.DrainUnfinished, "open", g.OpenRequests(), "err", err)
	}
	g.DrainExchanges(drainCtx)
	return nil
}

// discard drops the log lines of the HTTP library. Relevant failures are logged as
// events.
type discard struct{}

func (discard) Write(p []byte) (int, error) { return len(p), nil }

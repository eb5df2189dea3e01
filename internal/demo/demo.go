// Package demo runs a whole deployment on loopback. It rolls out a version to all
// instances, sends requests while a second version replaces the first and instances
// are lost, and compares the reported outcomes with the requests that ran.
package demo

import (
	"context"
	"fmt"
	"io"
	"math/rand"
	"os"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/go-kit/log"

	"github.com/auburnbend/auburnbend/internal/deployment"
	"github.com/auburnbend/auburnbend/lib/eventlog"
	"github.com/auburnbend/auburnbend/lib/model"
)

// ErrPropertyViolated means that answers or outcomes were wrong, that an order ran
// more than once, or that no draft or no order completed.
var ErrPropertyViolated = merry.New("demo check failed: wrong results, an order that ran more than once, or no completed draft or order")

// progressInterval is the interval at which the progress of a rollout is checked.
const progressInterval = 500 * time.Millisecond

var domains = []model.FailureDomain{"kigali", "huye", "musanze"}

// scenario is the state of one run of the demo.
type scenario struct {
	options    Options
	out        io.Writer
	deployment *deployment.Deployment
	results    *results
	rng        *rand.Rand
	started    time.Time
	// rolloutTimes holds the duration of each rollout.
	rolloutTimes []time.Duration
	killed       int
}

// Run runs the demo and writes its progress and a summary to out. It returns
// ErrPropertyViolated if a check fails, and an error if the demo does not end within
// o.MaxTime.
func Run(ctx context.Context, o Options, out io.Writer) error {
	ctx, cancel := context.WithTimeout(ctx, o.MaxTime)
	defer cancel()
	directory, err := os.MkdirTemp("", "auburnbend-demo-")
	if err != nil {
		return merry.Wrap(err)
	}
	defer func() { _ = os.RemoveAll(directory) }()
	logger := eventlog.Discard()
	if o.ShowEvents {
		logger = eventlog.New(log.NewLogfmtLogger(log.NewSyncWriter(out)), "ts", log.DefaultTimestampUTC)
	}
	s := &scenario{options: o, out: out, results: newResults(), rng: rand.New(rand.NewSource(o.Seed)), started: time.Now()}
	s.print("starting %d failure domains with %d entries, %d model engines and 1 plain service each", len(domains), o.Entries, o.Agents)
	s.deployment, err = deployment.Start(deployment.Options{
		Domains: domains, EntriesPerDomain: o.Entries, AgentsPerDomain: o.Agents, ServicesPerDomain: 1,
		ModelBytes: int64(o.ModelMiB) << 20, ChunkBytes: o.ChunkKiB << 10, TransferWindow: o.Window,
		InstanceListLag: 200 * time.Millisecond, EngineTimeScale: 0.1, EngineRestartDelay: time.Second,
		StagingDir: directory, Seed: o.Seed,
	}, logger)
	if err != nil {
		return err
	}
	defer s.deployment.Close()
	if err := s.run(ctx); err != nil {
		return err
	}
	return s.summary()
}

func (s *scenario) print(format string, args ...any) {
	fmt.Fprintf(s.out, "%6.1fs  %s\n", time.Since(s.started).Seconds(), fmt.Sprintf(format, args...))
}

// run rolls out two versions, the second while requests are sent and instances are
// lost.
func (s *scenario) run(ctx context.Context) error {
	if err := s.rollOut(ctx, "v1"); err != nil {
		return err
	}
	load := newLoadGenerator(s.deployment, s.results, s.options.Callers, s.options.Seed)
	load.start(ctx)
	defer load.stop()
	s.print("callers send drafts and orders through %d entries", len(s.deployment.Entries))
	killsDone := make(chan struct{})
	go func() {
		defer close(killsDone)
		s.stopAndKill(ctx)
	}()
	err := s.rollOut(ctx, "v2")
	<-killsDone
	return err
}

// rollOut publishes and places a version and waits until all running instances
// serve it.
func (s *scenario) rollOut(ctx context.Context, name string) error {
	started := time.Now()
	v, err := s.deployment.PublishAndPlace(ctx, name)
	if err != nil {
		return err
	}
	s.print("version %s accepted through the operator interface", name)
	last := -1
	err = s.deployment.WaitLive(ctx, v, progressInterval, func(live, total int) {
		if live != last {
			s.print("version %s: live on %d of %d instances, %.2f copies read from the origin", name, live, total, s.originCopies())
			last = live
		}
	})
	s.rolloutTimes = append(s.rolloutTimes, time.Since(started))
	return err
}

// originCopies returns the bytes read from the origin so far, as a multiple of the
// size of a version.
func (s *scenario) originCopies() float64 {
	return float64(s.deployment.Origin.Stats().Bytes) / float64(int64(s.options.ModelMiB)<<20)
}

// stopAndKill stops one instance gracefully, then kills the configured share of the
// instances. It does nothing if the share leaves no instance to stop.
func (s *scenario) stopAndKill(ctx context.Context) {
	agents := s.deployment.ModelAgents()
	kills := int(s.options.KillShare * float64(len(agents)))
	order := s.rng.Perm(len(agents))
	if len(order) == 0 || kills >= len(order) {
		return
	}
	s.print("stopping %s as with SIGTERM", agents[order[0]].Identity.Instance)
	if err := agents[order[0]].Stop(ctx); err != nil {
		s.print("drain of %s did not finish: %v", agents[order[0]].Identity.Instance, err)
	}
	for _, i := range order[1 : 1+kills] {
		select {
		case <-time.After(time.Duration(s.rng.Int63n(int64(s.options.Window)/4 + 1))):
		case <-ctx.Done():
			return
		}
		s.print("killing %s", agents[i].Identity.Instance)
		agents[i].Kill()
		s.killed++
	}
}

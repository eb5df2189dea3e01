// Package demo runs a whole deployment on loopback: it brings a version to all
// instances, sends live requests while a second version replaces it and
// instances are lost, and checks what callers were told against what ran.
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

// ErrPropertyViolated means that a property did not hold.
var ErrPropertyViolated = merry.New("a property did not hold")

// progressInterval is the time between two lines of progress.
const progressInterval = 500 * time.Millisecond

var domains = []model.FailureDomain{"kigali", "huye", "musanze"}

// demo is one run.
type demo struct {
	options Options
	out     io.Writer
	d       *deployment.Deployment
	tally   *tally
	rng     *rand.Rand
	started time.Time
	// rollouts are the times in which versions reached all instances.
	rollouts []time.Duration
	killed   int
}

// Run runs the demo and returns ErrBroken when a property did not hold.
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
	run := &demo{options: o, out: out, tally: newTally(), rng: rand.New(rand.NewSource(o.Seed)), started: time.Now()}
	run.print("starting %d failure domains with %d entries, %d model runners and 1 order runner each", len(domains), o.Entries, o.Agents)
	run.d, err = deployment.Start(deployment.Options{
		Domains: domains, EntriesPerDomain: o.Entries, AgentsPerDomain: o.Agents, ServicesPerDomain: 1,
		ModelBytes: int64(o.ModelMiB) << 20, ChunkBytes: o.ChunkKiB << 10, TransferWindow: o.Window,
		InstanceListLag: 200 * time.Millisecond, EngineTimeScale: 0.1, EngineRestartDelay: time.Second,
		StagingDir: directory, Seed: o.Seed,
	}, logger)
	if err != nil {
		return err
	}
	defer run.d.Close()
	if err := run.scenario(ctx); err != nil {
		return err
	}
	return run.summary()
}

func (r *demo) print(format string, args ...any) {
	fmt.Fprintf(r.out, "%6.1fs  %s\n", time.Since(r.started).Seconds(), fmt.Sprintf(format, args...))
}

// scenario brings out two versions, the second under live requests and losses.
func (r *demo) scenario(ctx context.Context) error {
	if err := r.rollOut(ctx, "v1"); err != nil {
		return err
	}
	load := newLoad(r.d, r.tally, r.options.Callers, r.options.Seed)
	load.start(ctx)
	defer load.stop()
	r.print("callers send drafts and orders through %d entries", len(r.d.Entries))
	losses := make(chan struct{})
	go func() {
		defer close(losses)
		r.lose(ctx)
	}()
	err := r.rollOut(ctx, "v2")
	<-losses
	return err
}

// rollOut publishes and places a version and waits until all running instances
// serve it.
func (r *demo) rollOut(ctx context.Context, name string) error {
	begun := time.Now()
	v, err := r.d.PublishAndPlace(ctx, name)
	if err != nil {
		return err
	}
	r.print("version %s accepted through the operators' interface", name)
	last := -1
	err = r.d.WaitLive(ctx, v, progressInterval, func(live, of int) {
		if live != last {
			r.print("version %s: %d of %d instances live, %.2f copies from the origin", name, live, of, r.copies())
			last = live
		}
	})
	r.rollouts = append(r.rollouts, time.Since(begun))
	return err
}

// copies returns the bytes read from the origin in copies of one version.
func (r *demo) copies() float64 {
	return float64(r.d.Origin.Stats().Bytes) / float64(int64(r.options.ModelMiB)<<20)
}

// lose stops one instance gracefully and kills others while the second version
// is on its way.
func (r *demo) lose(ctx context.Context) {
	runners := r.d.ModelAgents()
	kills := int(r.options.KillShare * float64(len(runners)))
	order := r.rng.Perm(len(runners))
	if len(order) == 0 || kills >= len(order) {
		return
	}
	r.print("SIGTERM to %s", runners[order[0]].Identity.Instance)
	if err := runners[order[0]].Stop(ctx); err != nil {
		r.print("drain of %s did not finish: %v", runners[order[0]].Identity.Instance, err)
	}
	for _, i := range order[1 : 1+kills] {
		select {
		case <-time.After(time.Duration(r.rng.Int63n(int64(r.options.Window)/4 + 1))):
		case <-ctx.Done():
			return
		}
		r.print("killing %s", runners[i].Identity.Instance)
		runners[i].Kill()
		r.killed++
	}
}

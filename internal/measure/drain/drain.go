// Package drain measures the new work that a draining instance still receives and
// the requests that its graceful shutdown cuts off.
package drain

import (
	"context"
	"os"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/cloudwego/hertz/pkg/common/hlog"
	"github.com/spf13/cobra"

	"github.com/auburnbend/auburnbend/internal/deployment"
	"github.com/auburnbend/auburnbend/internal/measure/figure"
	measurerun "github.com/auburnbend/auburnbend/internal/measure/run"
	"github.com/auburnbend/auburnbend/lib/eventlog"
	"github.com/auburnbend/auburnbend/lib/model"
)

const (
	// noWorkDelay is the time after the start of its drain from which an instance
	// must not receive new work.
	noWorkDelay = 3 * time.Second
	// watchTime is the time after noWorkDelay in which new work is counted.
	watchTime    = 3 * time.Second
	pollInterval = 10 * time.Millisecond
)

type options struct {
	agents, callers, tokens int
	seed                    int64
}

// NewCommand returns the drain subcommand.
func NewCommand() *cobra.Command {
	var o options
	c := &cobra.Command{
		Use:   "drain",
		Short: "Measure the new work of a draining instance and the requests cut off by its shutdown",
		Args:  cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			hlog.SetLevel(hlog.LevelFatal)
			return run(c.Context(), o, figure.NewPrinter(c.OutOrStdout()))
		},
	}
	flags := c.Flags()
	flags.IntVar(&o.agents, "agents", 4, "agents of model engines in each of 2 failure domains")
	flags.IntVar(&o.callers, "callers", 16, "number of concurrent callers")
	flags.IntVar(&o.tokens, "tokens", 60, "tokens in a response")
	flags.Int64Var(&o.seed, "seed", 1, "seed of all random choices")
	return c
}

func run(ctx context.Context, o options, p *figure.Printer) error {
	ctx, cancel := context.WithTimeout(ctx, 2*time.Minute)
	defer cancel()
	directory, err := os.MkdirTemp("", "auburnbend-drain-")
	if err != nil {
		return merry.Wrap(err)
	}
	defer func() { _ = os.RemoveAll(directory) }()
	d, err := deployment.Start(deployment.Options{
		Domains: []model.FailureDomain{"kigali", "huye"}, EntriesPerDomain: 2, AgentsPerDomain: o.agents,
		ModelBytes: 1 << 20, ChunkBytes: 64 << 10, TransferWindow: time.Second,
		EngineTimeScale: 0.1, EngineRestartDelay: time.Second, StagingDir: directory, Seed: o.seed,
	}, eventlog.Discard())
	if err != nil {
		return err
	}
	defer d.Close()
	v, err := d.PublishAndPlace(ctx, "v1")
	if err != nil {
		return err
	}
	if err := d.WaitLive(ctx, v, 50*time.Millisecond, nil); err != nil {
		return err
	}
	return measure(ctx, d, o, p)
}

func measure(ctx context.Context, d *deployment.Deployment, o options, p *figure.Printer) error {
	load := newLoadGenerator(d, o)
	load.start(ctx)
	if err := measurerun.Sleep(ctx, 2*time.Second); err != nil {
		return err
	}
	first := d.ModelAgents()[0]
	first.BlackholeHalf()
	start := time.Now()
	drained := make(chan error, 1)
	go func() { drained <- first.Stop(ctx) }()
	if err := measurerun.Sleep(ctx, noWorkDelay); err != nil {
		return err
	}
	sentLate, err := countIncreases(ctx, func() int { return d.AttemptsSentTo(first) })
	if err != nil {
		return err
	}
	second := d.ModelAgents()[1]
	err = second.Stop(ctx)
	elapsed := time.Since(start)
	load.stop()
	if firstErr := <-drained; err == nil {
		err = firstErr
	}
	if err != nil {
		return err
	}
	for _, f := range []figure.Figure{
		{Name: "requests_sent_after_3s", Value: float64(sentLate), Unit: "requests", Bound: figure.AtMost(0)},
		{Name: "requests_cut_off", Value: float64(load.count(cutOff)), Unit: "requests", Bound: figure.AtMost(0)},
		{Name: "requests_completed", Value: float64(load.count(completed)), Unit: "requests", Bound: figure.AtLeast(1)},
		{Name: "requests_not_run", Value: float64(load.count(notRun)), Unit: "requests"},
		{Name: "answers_wrong", Value: float64(load.count(wrongResponse)), Unit: "requests", Bound: figure.AtMost(0)},
		{Name: "both_drains", Value: elapsed.Seconds(), Unit: "s"},
	} {
		if err := p.Print(f); err != nil {
			return err
		}
	}
	return p.Err()
}

// countIncreases sums the increases of a counter over watchTime. The counter
// restarts at zero when an entry forgets the agent.
func countIncreases(ctx context.Context, count func() int) (increase int, err error) {
	before := count()
	for end := time.Now().Add(watchTime); time.Now().Before(end); {
		if err := measurerun.Sleep(ctx, pollInterval); err != nil {
			return increase, err
		}
		now := count()
		increase += max(0, now-before)
		before = now
	}
	return increase, nil
}

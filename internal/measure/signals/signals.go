// Package signals measures what backend servers on the users' platform still get after
// they have announced their drain or asked for a pause, with entries and agents in one
// process against stand-ins of the platform.
package signals

import (
	"context"
	"os"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/spf13/cobra"

	"github.com/auburnbend/auburnbend/internal/measure/figure"
	"github.com/auburnbend/auburnbend/internal/measure/run"
	"github.com/auburnbend/auburnbend/platform/platformtest"
)

const (
	// warmupTime is the load before the first signal.
	warmupTime = 2 * time.Second
	// pauseTime is the pause that servers ask for, and the time for which they reject
	// requests.
	pauseTime = 2 * time.Second
	// drainTime is how long a server serves after it has announced its drain, and the bound
	// of the settings is drainBound.
	drainTime, drainBound = 3 * time.Second, time.Second
	// startTime bounds the start of the daemons.
	startTime = 20 * time.Second
)

type options struct {
	entries, engines, plain, callers, rounds int
	seed                                     uint64
}

// NewCommand returns the signals subcommand.
func NewCommand() *cobra.Command {
	var o options
	c := &cobra.Command{
		Use:   "signals",
		Short: "Measure the requests that servers get after they announced their drain or asked for a pause",
		Args:  cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			return measure(c.Context(), o, figure.NewPrinter(c.OutOrStdout()))
		},
	}
	flags := c.Flags()
	flags.IntVar(&o.entries, "entries", 6, "entries in two regions")
	flags.IntVar(&o.engines, "engines", 4, "model engines, each with an agent")
	flags.IntVar(&o.plain, "plain", 4, "plain backend servers")
	flags.IntVar(&o.callers, "callers", 4, "callers of each entry; each keeps its connection")
	flags.IntVar(&o.rounds, "rounds", 3, "rounds, in each of which a server of each kind drains and others ask for a pause")
	flags.Uint64Var(&o.seed, "seed", 1, "seed of all random choices")
	return c
}

func measure(ctx context.Context, o options, p *figure.Printer) error {
	if min(o.entries, o.engines, o.plain, o.callers, o.rounds) < 1 {
		return merry.New("--entries, --engines, --plain, --callers and --rounds must be at least 1")
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	directory, err := os.MkdirTemp("", "auburnbend-signals-")
	if err != nil {
		return merry.Wrap(err)
	}
	defer func() { _ = os.RemoveAll(directory) }()
	f, err := startFleet(ctx, o, directory)
	if err != nil {
		return err
	}
	defer f.close()
	load := newLoad(f, o)
	if err := load.awaitReady(ctx, startTime); err != nil {
		return err
	}
	load.start(ctx)
	err = signalAll(ctx, f, o)
	load.stop()
	if err != nil {
		return err
	}
	agentCalls := figure.Figure{Name: "agent_calls_in_pause_max", Value: float64(f.agentCallsInPause), Unit: "calls of one agent", Bound: figure.AtMost(maxDuringPause)}
	for _, figure := range append(f.recorder.figures(drainBound), agentCalls) {
		if err := p.Print(figure); err != nil {
			return err
		}
	}
	return p.Err()
}

// signalAll lets servers give their signals, round by round. In the last round all plain
// servers ask for a pause.
func signalAll(ctx context.Context, f *fleet, o options) error {
	if err := run.Sleep(ctx, warmupTime); err != nil {
		return err
	}
	for round := range o.rounds {
		f.store.FailWith(storeStatus(round))
		draining := []int{round % o.engines, o.engines + round%o.plain}
		for _, i := range draining {
			f.backends[i].SignalDraining()
		}
		asked, pausing := time.Now(), []*platformtest.Backend(nil)
		for i, b := range f.backends {
			inLastRound := round == o.rounds-1 && i >= o.engines
			if inLastRound || i != draining[0] && i != draining[1] && i%2 == round%2 {
				b.RejectRequests(pauseTime, int(pauseTime.Seconds()))
				b.RejectAgent(pauseTime, int(pauseTime.Seconds()))
				pausing = append(pausing, b)
			}
		}
		if err := run.Sleep(ctx, drainTime); err != nil {
			return err
		}
		f.countAgentCalls(pausing, asked.Add(pauseSlack), asked.Add(pauseTime))
		f.store.FailWith(0)
		for _, i := range draining {
			f.backends[i].Crash(0)
			if err := f.backends[i].Start(); err != nil {
				return merry.Wrap(err)
			}
		}
		if err := run.Sleep(ctx, pauseTime); err != nil {
			return err
		}
	}
	return nil
}

// storeStatus returns the status with which the store rejects calls during the signals of
// a round; zero if it serves.
func storeStatus(round int) int {
	if round%2 == 1 {
		return 503
	}
	return 0
}

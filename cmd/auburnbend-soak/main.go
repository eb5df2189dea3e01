// Command auburnbend-soak runs the daemons for the platform as processes, injects
// faults, and checks what callers and backend servers observe.
package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"os/signal"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"github.com/auburnbend/auburnbend/internal/soak"
)

// options are the values of the command-line flags.
type options struct {
	seed            uint64
	seeds, parallel int
	busy            time.Duration
	loads           bool
	binaries, dir   string
}

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	if err := newCommand().ExecuteContext(ctx); err != nil {
		fmt.Fprintln(os.Stderr, "auburnbend-soak:", err)
		os.Exit(1)
	}
}

func newCommand() *cobra.Command {
	o := options{}
	cmd := &cobra.Command{
		Use:   "auburnbend-soak",
		Short: "Inject random faults into the platform's daemons and check what callers observe",
		Long: "auburnbend-soak starts entries and agents as processes, with fake platform services, and injects\n" +
			"faults: signals, links with delay, resets or loss, an unavailable store, servers that crash or drain.\n" +
			"It exits with status 1 if a guarantee was violated, and keeps the settings files and logs of that seed.",
		Example: "  auburnbend-soak --seeds 50\n  auburnbend-soak --seed 7",
		Args:    cobra.NoArgs, SilenceUsage: true, SilenceErrors: true,
		RunE: func(cmd *cobra.Command, _ []string) error { return o.run(cmd) },
	}
	cmd.Flags().Uint64Var(&o.seed, "seed", 0, "first seed; 0 chooses a random one")
	cmd.Flags().IntVar(&o.seeds, "seeds", 1, "number of seeds to run")
	cmd.Flags().IntVar(&o.parallel, "parallel", 2, "number of concurrent runs of 7 processes each")
	cmd.Flags().DurationVar(&o.busy, "busy", 10*time.Second, "time during which faults are injected")
	cmd.Flags().BoolVar(&o.loads, "loads", false, "let engines accept late orders to load corrupt pieces; use --busy 16s")
	cmd.Flags().StringVar(&o.binaries, "binaries", "target", "directory with auburnbend-gateway and auburnbend-replica")
	cmd.Flags().StringVar(&o.dir, "dir", "", "directory for settings and logs; default is a new temporary directory")
	return cmd
}

func (o *options) run(cmd *cobra.Command) error {
	if o.seed == 0 {
		o.seed = rand.Uint64()
	}
	if o.dir == "" {
		var err error
		if o.dir, err = os.MkdirTemp("", "auburnbend-soak-"); err != nil {
			return err
		}
	}
	var mu sync.Mutex
	failed := 0
	slots := make(chan int, o.parallel)
	for slot := range o.parallel {
		slots <- slot
	}
	var runs sync.WaitGroup
	for i := range o.seeds {
		slot := <-slots
		if cmd.Context().Err() != nil {
			break
		}
		runs.Add(1)
		go func() {
			defer runs.Done()
			defer func() { slots <- slot }()
			result, err := o.runSeed(cmd.Context(), o.seed+uint64(i), slot)
			mu.Lock()
			defer mu.Unlock()
			if err != nil || len(result.Violations) > 0 {
				failed++
			}
			printResult(cmd, o.seed+uint64(i), result, err)
		}()
	}
	runs.Wait()
	fmt.Fprintf(cmd.OutOrStdout(), "%d seeds, %d failed; logs in %s\n", o.seeds, failed, o.dir)
	if failed > 0 {
		return fmt.Errorf("%d of %d seeds failed", failed, o.seeds)
	}
	return cmd.Context().Err()
}

// runSeed runs a seed in its own directory, and removes the directory if there was no
// violation.
func (o *options) runSeed(ctx context.Context, seed uint64, slot int) (*soak.Result, error) {
	dir := filepath.Join(o.dir, fmt.Sprint(seed))
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return nil, err
	}
	result, err := soak.Run(ctx, soak.Options{
		Seed: seed, Slot: slot, Dir: dir, StepWindow: o.busy, Loads: o.loads,
		Binaries: soak.Binaries{Gateway: filepath.Join(o.binaries, "auburnbend-gateway"), Replica: filepath.Join(o.binaries, "auburnbend-replica")},
	})
	if err == nil && len(result.Violations) == 0 {
		err = os.RemoveAll(dir)
	}
	return result, err
}

func printResult(cmd *cobra.Command, seed uint64, r *soak.Result, err error) {
	out := cmd.OutOrStdout()
	if err != nil {
		fmt.Fprintf(out, "seed %d: run failed: %v\n", seed, err)
		return
	}
	fmt.Fprintf(out, "seed %d: %d requests, %d answered, %d refused, %d steps, %d violations\n", seed, r.Requests, r.Answered, r.Refused, len(r.Steps), len(r.Violations))
	if len(r.Violations) == 0 {
		return
	}
	for _, step := range r.Steps {
		fmt.Fprintln(out, "  ", step)
	}
	for _, v := range r.Violations {
		fmt.Fprintln(out, "  violation:", v)
	}
}

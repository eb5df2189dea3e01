// Command auburnbend-soak runs the daemons of the platform as processes, injects
// faults, and checks what callers and backend servers see.
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

// settings are the flags of the command.
type settings struct {
	seed            uint64
	seeds, parallel int
	busy            time.Duration
	binaries, dir   string
}

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	if err := command().ExecuteContext(ctx); err != nil {
		fmt.Fprintln(os.Stderr, "auburnbend-soak:", err)
		os.Exit(1)
	}
}

func command() *cobra.Command {
	s := settings{}
	cmd := &cobra.Command{
		Use:   "auburnbend-soak",
		Short: "Plays random faults on the platform's daemons and checks what callers see.",
		Long: "auburnbend-soak starts entries and agents as processes, with stand-ins of the platform, and injects\n" +
			"faults: signals, links that delay, reset or lose, a store that fails, servers that crash or leave.\n" +
			"It ends with code 1 if a promise was broken; settings files and logs of that seed are kept.",
		Example: "  auburnbend-soak --seeds 50\n  auburnbend-soak --seed 7",
		Args:    cobra.NoArgs, SilenceUsage: true, SilenceErrors: true,
		RunE: func(cmd *cobra.Command, _ []string) error { return s.run(cmd) },
	}
	cmd.Flags().Uint64Var(&s.seed, "seed", 0, "first seed; 0 draws one")
	cmd.Flags().IntVar(&s.seeds, "seeds", 1, "number of seeds")
	cmd.Flags().IntVar(&s.parallel, "parallel", 2, "runs at the same time; each has 7 processes")
	cmd.Flags().DurationVar(&s.busy, "busy", 10*time.Second, "time in which faults come")
	cmd.Flags().StringVar(&s.binaries, "binaries", "target", "directory with auburnbend-gateway and auburnbend-replica")
	cmd.Flags().StringVar(&s.dir, "dir", "", "directory for settings and logs; the default is a temporary one")
	return cmd
}

func (s *settings) run(cmd *cobra.Command) error {
	if s.seed == 0 {
		s.seed = rand.Uint64()
	}
	if s.dir == "" {
		var err error
		if s.dir, err = os.MkdirTemp("", "auburnbend-soak-"); err != nil {
			return err
		}
	}
	var mu sync.Mutex
	broken := 0
	slots := make(chan int, s.parallel)
	for slot := range s.parallel {
		slots <- slot
	}
	var runs sync.WaitGroup
	for i := range s.seeds {
		slot := <-slots
		if cmd.Context().Err() != nil {
			break
		}
		runs.Add(1)
		go func() {
			defer runs.Done()
			defer func() { slots <- slot }()
			report, err := s.one(cmd.Context(), s.seed+uint64(i), slot)
			mu.Lock()
			defer mu.Unlock()
			if err != nil || len(report.Violations) > 0 {
				broken++
			}
			print(cmd, s.seed+uint64(i), report, err)
		}()
	}
	runs.Wait()
	fmt.Fprintf(cmd.OutOrStdout(), "%d seeds, %d broken; logs in %s\n", s.seeds, broken, s.dir)
	if broken > 0 {
		return fmt.Errorf("%d of %d seeds broke a promise", broken, s.seeds)
	}
	return cmd.Context().Err()
}

// one plays a seed in a directory of its own, which is kept if something broke.
func (s *settings) one(ctx context.Context, seed uint64, slot int) (*soak.Result, error) {
	dir := filepath.Join(s.dir, fmt.Sprint(seed))
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return nil, err
	}
	report, err := soak.Run(ctx, soak.Options{
		Seed: seed, Slot: slot, Dir: dir, StepWindow: s.busy,
		Binaries: soak.Binaries{Gateway: filepath.Join(s.binaries, "auburnbend-gateway"), Replica: filepath.Join(s.binaries, "auburnbend-replica")},
	})
	if err == nil && len(report.Violations) == 0 {
		err = os.RemoveAll(dir)
	}
	return report, err
}

func print(cmd *cobra.Command, seed uint64, r *soak.Result, err error) {
	out := cmd.OutOrStdout()
	if err != nil {
		fmt.Fprintf(out, "seed %d: not run: %v\n", seed, err)
		return
	}
	fmt.Fprintf(out, "seed %d: %d requests, %d answered, %d refused, %d steps, %d broken\n", seed, r.Requests, r.Answered, r.Refused, len(r.Steps), len(r.Violations))
	if len(r.Violations) == 0 {
		return
	}
	for _, step := range r.Steps {
		fmt.Fprintln(out, "  ", step)
	}
	for _, v := range r.Violations {
		fmt.Fprintln(out, "  broken:", v)
	}
}

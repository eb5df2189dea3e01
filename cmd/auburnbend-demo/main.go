// Command auburnbend-demo runs a complete deployment on loopback for a limited time.
// It exits with status 1 if a property was violated.
package main

import (
	"fmt"
	"os"
	"time"

	"github.com/cloudwego/hertz/pkg/common/hlog"
	"github.com/spf13/cobra"

	"github.com/auburnbend/auburnbend/internal/demo"
)

func main() {
	hlog.SetLevel(hlog.LevelFatal)
	if err := newCommand().Execute(); err != nil {
		fmt.Fprintln(os.Stderr, "auburnbend-demo:", err)
		os.Exit(1)
	}
}

func newCommand() *cobra.Command {
	var o demo.Options
	c := &cobra.Command{
		Use:           "auburnbend-demo",
		Short:         "Run a complete deployment on loopback",
		Example:       "  auburnbend-demo\n  auburnbend-demo --agents 5 --kill 0.2 --events",
		Args:          cobra.NoArgs,
		SilenceUsage:  true,
		SilenceErrors: true,
		RunE: func(c *cobra.Command, _ []string) error {
			return demo.Run(c.Context(), o, c.OutOrStdout())
		},
	}
	flags := c.Flags()
	flags.IntVar(&o.Agents, "agents", 20, "agents with a model engine in each of the 3 failure domains")
	flags.IntVar(&o.Entries, "entries", 2, "entries in each failure domain")
	flags.IntVar(&o.ModelMiB, "model-mib", 4, "size of a model version in MiB")
	flags.IntVar(&o.ChunkKiB, "chunk-kib", 128, "size of a chunk in KiB")
	flags.IntVar(&o.Callers, "callers", 24, "number of concurrent callers")
	flags.Float64Var(&o.KillShare, "kill", 0.05, "share of the agents, from 0 to 1, that are killed during the second rollout")
	flags.Int64Var(&o.Seed, "seed", 1, "seed of the random number generator")
	flags.DurationVar(&o.Window, "window", 4*time.Second, "time in which the origin's link can transfer 4 copies and an agent's link 2")
	flags.DurationVar(&o.MaxTime, "max-time", 30*time.Second, "time after which the demo is aborted")
	flags.BoolVar(&o.ShowEvents, "events", false, "print log events")
	return c
}

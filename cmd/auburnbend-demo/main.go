// Command auburnbend-demo runs a whole deployment on loopback and ends by
// itself. It exits with 1 when a property did not hold.
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
	if err := command().Execute(); err != nil {
		fmt.Fprintln(os.Stderr, "auburnbend-demo:", err)
		os.Exit(1)
	}
}

func command() *cobra.Command {
	var o demo.Options
	c := &cobra.Command{
		Use:           "auburnbend-demo",
		Short:         "Runs a whole deployment on loopback",
		Example:       "  auburnbend-demo\n  auburnbend-demo --agents 5 --kill 0.2 --events",
		Args:          cobra.NoArgs,
		SilenceUsage:  true,
		SilenceErrors: true,
		RunE: func(c *cobra.Command, _ []string) error {
			return demo.Run(c.Context(), o, c.OutOrStdout())
		},
	}
	flags := c.Flags()
	flags.IntVar(&o.Agents, "agents", 20, "model runners in each of the 3 failure domains")
	flags.IntVar(&o.Entries, "entries", 2, "entries in each failure domain")
	flags.IntVar(&o.ModelMiB, "model-mib", 4, "size of a version in MiB")
	flags.IntVar(&o.ChunkKiB, "chunk-kib", 128, "size of a chunk in KiB")
	flags.IntVar(&o.Callers, "callers", 24, "callers that send at the same time")
	flags.Float64Var(&o.KillShare, "kill", 0.05, "share of the runners that are killed during the second rollout")
	flags.Int64Var(&o.Seed, "seed", 1, "seed of all random choices")
	flags.DurationVar(&o.Window, "window", 4*time.Second, "time in which the origin's link carries 4 copies and a runner's link 2")
	flags.DurationVar(&o.MaxTime, "max-time", 30*time.Second, "time after which the demo gives up")
	flags.BoolVar(&o.ShowEvents, "events", false, "show log events")
	return c
}

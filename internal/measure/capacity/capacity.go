// Package capacity measures what connections without requests cost an entry and
// an agent, and works the slopes out to the planned size.
package capacity

import (
	"context"
	"time"

	"github.com/auburnbend/auburnbend/internal/measure/figure"
	"github.com/spf13/cobra"
)

// The planned size and its budget for control, from the users' letter.
const (
	plannedEntries    = 600
	plannedAgents     = 10_000
	plannedDomains    = 15
	maxCoreShare      = 0.01
	maxMemoryBytes    = 256e6
	maxBytesPerSecond = 8_000.0
	// entryConnections are 60 agents, and 4 entries of the own failure domain and
	// one of each other domain in both directions.
	entryConnections = 60 + 2*(4+plannedDomains-1)
	// agentConnections is the largest number of entries that reach one agent.
	agentConnections = 4
)

// options are the flags of the command.
type options struct {
	sizes  []int
	settle time.Duration
	window time.Duration
	seed   int64
}

// New returns the command.
func New() *cobra.Command {
	var o options
	c := &cobra.Command{
		Use:   "capacity",
		Short: "Measure the control cost of connections and work it out to the planned size",
		Long: `Runs one entry with a growing number of agents on loopback, without requests,
and measures processor time, bytes and memory. The agents run in a process of
their own.`,
		Example: "  auburnbend-measure capacity\n  auburnbend-measure capacity --sizes 10,20,40,80 --window 10s",
		Args:    cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			return run(c.Context(), o, figure.NewPrinter(c.OutOrStdout()))
		},
	}
	flags := c.Flags()
	flags.IntSliceVar(&o.sizes, "sizes", []int{15, 30, 45, 60}, "numbers of agents")
	flags.DurationVar(&o.settle, "settle", 8*time.Second, "time for the instance list to be read and connections to be opened")
	flags.DurationVar(&o.window, "window", 9*time.Second, "time that is measured at each size; three idle heartbeats")
	flags.Int64Var(&o.seed, "seed", 1, "seed of all random choices")
	c.AddCommand(newAgentsCommand())
	return c
}

func run(ctx context.Context, o options, p *figure.Printer) error {
	var x, entryCore, entryMemory, agentCore, agentMemory, bytes []float64
	for _, n := range o.sizes {
		s, err := measure(ctx, n, o)
		if err != nil {
			return err
		}
		x = append(x, float64(n))
		entryCore, entryMemory = append(entryCore, s.entry.coreShare), append(entryMemory, s.entry.memoryBytes)
		agentCore, agentMemory = append(agentCore, s.agents.coreShare), append(agentMemory, s.agents.memoryBytes)
		bytes = append(bytes, s.bytesPerSecond)
	}
	return fittedCosts{
		entryCore:   fit(x, entryCore),
		entryMemory: fit(x, entryMemory),
		agentCore:   fit(x, agentCore),
		agentMemory: fit(x, agentMemory),
		bytes:       fit(x, bytes),
	}.print(p)
}

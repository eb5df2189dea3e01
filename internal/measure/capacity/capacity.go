// Package capacity measures the cost of idle connections for an entry and an
// agent, and extrapolates it to the planned deployment size.
package capacity

import (
	"context"
	"time"

	"github.com/auburnbend/auburnbend/internal/measure/figure"
	"github.com/spf13/cobra"
)

// The planned deployment size and the budget of a node for control, as the users
// require.
const (
	plannedEntries    = 600
	plannedAgents     = 10_000
	plannedDomains    = 15
	maxCoreShare      = 0.01
	maxMemoryBytes    = 256e6
	maxBytesPerSecond = 8_000.0
	// entryConnections counts an entry's connections: to 60 agents and, in both
	// directions, 4 entries of its own failure domain and one of each other domain.
	entryConnections = 60 + 2*(4+plannedDomains-1)
	// agentConnections is the maximum number of entries connected to one agent.
	agentConnections = 4
)

// options are the flags of the command.
type options struct {
	sizes  []int
	settle time.Duration
	window time.Duration
	seed   int64
}

// NewCommand returns the capacity subcommand.
func NewCommand() *cobra.Command {
	var o options
	c := &cobra.Command{
		Use:   "capacity",
		Short: "Measure the control cost of connections and extrapolate it to the planned size",
		Long: `Runs one entry with each of the given numbers of agents on loopback, without
requests, and measures CPU time, bytes and memory. The agents run in a separate
process.`,
		Example: "  auburnbend-measure capacity\n  auburnbend-measure capacity --sizes 10,20,40,80 --window 10s",
		Args:    cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			return run(c.Context(), o, figure.NewPrinter(c.OutOrStdout()))
		},
	}
	flags := c.Flags()
	flags.IntSliceVar(&o.sizes, "sizes", []int{15, 30, 45, 60}, "numbers of agents")
	flags.DurationVar(&o.settle, "settle", 8*time.Second, "time before a measurement for reading the instance list and opening connections")
	flags.DurationVar(&o.window, "window", 9*time.Second, "length of the measurement at each size; the default is three idle heartbeats")
	flags.Int64Var(&o.seed, "seed", 1, "seed of all random choices")
	c.AddCommand(newAgentsCommand())
	return c
}

func run(ctx context.Context, o options, p *figure.Printer) error {
	var x, entryCPU, entryMemory, agentCPU, agentMemory, bytes []float64
	for _, n := range o.sizes {
		s, err := measure(ctx, n, o)
		if err != nil {
			return err
		}
		x = append(x, float64(n))
		entryCPU, entryMemory = append(entryCPU, s.entry.coreShare), append(entryMemory, s.entry.memoryBytes)
		agentCPU, agentMemory = append(agentCPU, s.agents.coreShare), append(agentMemory, s.agents.memoryBytes)
		bytes = append(bytes, s.bytesPerSecond)
	}
	return fittedCosts{
		entryCPU:    fit(x, entryCPU),
		entryMemory: fit(x, entryMemory),
		agentCPU:    fit(x, agentCPU),
		agentMemory: fit(x, agentMemory),
		bytes:       fit(x, bytes),
	}.print(p)
}

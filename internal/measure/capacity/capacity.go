// Package capacity measures what connections without requests cost an entry and
// an agent, and works the slopes out to the planned size.
package capacity

import (
	"context"
	"time"

	"github.com/spf13/cobra"
	"gonum.org/v1/gonum/stat"

	"github.com/auburnbend/auburnbend/internal/measure/figure"
)

// The planned size and its budget for control, from the users' letter.
const (
	plannedEntries   = 600
	plannedAgents    = 10_000
	plannedDomains   = 15
	plannedChanges   = 6_000.0 // a day
	maxCoreShare     = 0.01
	maxMemoryBytes   = 256e6
	maxBytesSecond   = 8_000.0
	secondsPerDay    = 86_400.0
	entryConnections = 60 + 4 + plannedDomains - 1
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
and measures processor time, bytes and memory. Processor time and memory are of
the whole process, so the slopes include the agent's end of each connection: the
figures for an entry and for an agent are upper bounds.`,
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
	return c
}

func run(ctx context.Context, o options, p *figure.Printer) error {
	var agents, cpu, bytes, memory []float64
	for _, n := range o.sizes {
		s, err := measure(ctx, n, o)
		if err != nil {
			return err
		}
		agents = append(agents, float64(n))
		cpu = append(cpu, s.coreShare)
		bytes = append(bytes, s.bytesPerSecond)
		memory = append(memory, s.heapBytes)
	}
	l := lines{
		cpu:    fit(agents, cpu),
		bytes:  fit(agents, bytes),
		memory: fit(agents, memory),
	}
	return l.print(p)
}

// line is a fitted cost: fixed plus a slope per connection.
type line struct{ fixed, slope float64 }

func fit(x, y []float64) line {
	fixed, slope := stat.LinearRegression(x, y, nil, false)
	return line{fixed: max(fixed, 0), slope: max(slope, 0)}
}

func (l line) at(n float64) float64 { return l.fixed + l.slope*n }

// Package poison measures the effect of a request that crashes backend servers:
// the backend servers lost, and the innocent requests quarantined. It runs the
// entries' monitors in simulated time, with latencies between entries, agents and
// callers, and compares them with plain retries.
package poison

import (
	"time"

	"github.com/spf13/cobra"
)

const (
	// defaultEntries and defaultAgents are the default size of the simulated
	// deployment.
	defaultEntries = 4
	defaultAgents  = 30
	// defaultSends is the number of times that a caller sends the poison request.
	defaultSends = 10
	// defaultRounds is the number of simulated runs, each with its own seed.
	defaultRounds = 200
)

// NewCommand returns the poison subcommand.
func NewCommand() *cobra.Command {
	p := Params{}
	rounds, seed := defaultRounds, uint64(1)
	cmd := &cobra.Command{
		Use:   "poison",
		Short: "Measure the backend servers lost to one request that crashes them",
		RunE: func(cmd *cobra.Command, _ []string) error {
			monitored, baseline := Total{}, Total{}
			for i := range rounds {
				p.Seed = seed + uint64(i)
				p.Baseline = false
				monitored.add(Simulate(p))
				p.Baseline = true
				baseline.add(Simulate(p))
			}
			return printFigures(cmd.OutOrStdout(), monitored, baseline)
		},
	}
	flags := cmd.Flags()
	flags.IntVar(&p.Entries, "entries", defaultEntries, "entry instances")
	flags.IntVar(&p.Agents, "agents", defaultAgents, "backend servers")
	flags.IntVar(&p.SendsPerCaller, "sends", defaultSends, "times that each caller sends the request")
	flags.IntVar(&p.Callers, "callers", 1, "callers that send the request at the same time")
	flags.DurationVar(&p.Settle, "settle", 500*time.Millisecond, "poison.Config.Settle")
	flags.DurationVar(&p.StartDelay, "start", time.Second, "simulated time at which the callers start")
	flags.IntVar(&rounds, "rounds", rounds, "simulated runs")
	flags.Uint64Var(&seed, "seed", seed, "seed of the first run")
	return cmd
}

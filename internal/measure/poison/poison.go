// Package poison measures what a request that crashes backend servers costs: the
// backend servers lost, and the innocent requests that are held to be guilty. It
// runs the entries' monitors in simulated time, with latencies between entries,
// agents and the caller, and compares them with plain retries.
package poison

import (
	"time"

	"github.com/spf13/cobra"
)

const (
	// defaultEntries and defaultAgents are the sizes of the stated experiment.
	defaultEntries = 4
	defaultAgents  = 30
	// defaultSends is how often the caller sends the request again.
	defaultSends = 10
	// defaultRounds is the number of simulated requests, each with its own seed.
	defaultRounds = 200
)

// New returns the subcommand.
func New() *cobra.Command {
	p := Params{}
	rounds, seed := defaultRounds, uint64(1)
	cmd := &cobra.Command{
		Use:   "poison",
		Short: "Backend servers lost to one request that crashes them",
		RunE: func(cmd *cobra.Command, _ []string) error {
			ours, plain := Total{}, Total{}
			for i := range rounds {
				p.Seed = seed + uint64(i)
				p.Baseline = false
				ours.add(Simulate(p))
				p.Baseline = true
				plain.add(Simulate(p))
			}
			return printFigures(cmd.OutOrStdout(), ours, plain)
		},
	}
	flags := cmd.Flags()
	flags.IntVar(&p.Entries, "entries", defaultEntries, "entry instances")
	flags.IntVar(&p.Agents, "agents", defaultAgents, "backend servers")
	flags.IntVar(&p.SendsPerCaller, "sends", defaultSends, "times that the caller sends the request")
	flags.IntVar(&p.Callers, "callers", 1, "callers that send the request at the same time")
	flags.DurationVar(&p.Settle, "settle", 500*time.Millisecond, "poison.Config.Settle")
	flags.DurationVar(&p.StartDelay, "start", time.Second, "simulated time at which the callers begin")
	flags.IntVar(&rounds, "rounds", rounds, "simulated runs")
	flags.Uint64Var(&seed, "seed", seed, "seed of the first run")
	return cmd
}

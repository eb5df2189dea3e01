// Package config measures how the configuration propagates to all nodes, in
// simulated time.
package config

import (
	"github.com/spf13/cobra"

	"github.com/auburnbend/auburnbend/internal/measure/figure"
)

const (
	// maxPropagationSeconds is the target for the time until a change is in force
	// on all nodes.
	maxPropagationSeconds = 9
	// maxStoreReadsPerSecond is a tenth of the 2,000 reads/s of the table service.
	maxStoreReadsPerSecond = 200
	// maxControlBytesPerSecond limits the control traffic of a node.
	maxControlBytesPerSecond = 8 << 10
)

// NewCommand returns the config subcommand.
func NewCommand() *cobra.Command {
	var seed int64
	cmd := &cobra.Command{
		Use:     "config",
		Short:   "Measure configuration propagation: time, bytes and store reads",
		Example: "  auburnbend-measure config --seed 1",
		Args:    cobra.NoArgs,
		// A figure out of bounds is not a usage error.
		SilenceUsage: true,
		RunE: func(cmd *cobra.Command, _ []string) error {
			printer := figure.NewPrinter(cmd.OutOrStdout())
			for _, experiment := range []func(*figure.Printer, int64) error{reportPropagation, reportTraffic, reportReads, reportOutage} {
				if err := experiment(printer, seed); err != nil {
					return err
				}
			}
			return printer.Err()
		},
	}
	cmd.Flags().Int64Var(&seed, "seed", 1, "seed of the simulation")
	return cmd
}

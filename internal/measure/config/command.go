// Package config measures the spread of the configuration in simulated time.
package config

import (
	"github.com/spf13/cobra"

	"github.com/auburnbend/auburnbend/internal/measure/figure"
)

const (
	// maxPropagationSeconds is the time within which a change is in force, in seconds.
	maxPropagationSeconds = 9
	// maxStoreReadsPerSecond is a tenth of the store's 2,000 reads/s.
	maxStoreReadsPerSecond = 200
	// maxControlBytesPerSecond is what a node may spend on control, in bytes per second.
	maxControlBytesPerSecond = 8 << 10
)

// New returns the subcommand.
func New() *cobra.Command {
	var seed int64
	cmd := &cobra.Command{
		Use:     "config",
		Short:   "Measure the spread of the configuration: time, bytes and store reads",
		Example: "  auburnbend-measure config --seed 1",
		Args:    cobra.NoArgs,
		// A missed bound is no mistake on the command line.
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

// Command auburnbend-measure runs the project's experiments, one subcommand
// each, and prints their figures as JSON lines.
package main

import (
	"os"

	"github.com/spf13/cobra"

	"github.com/auburnbend/auburnbend/internal/measure/distribute"
	"github.com/auburnbend/auburnbend/internal/measure/poison"
)

func main() {
	root := &cobra.Command{
		Use:          "auburnbend-measure",
		Short:        "Run experiments and print their figures as JSON lines",
		SilenceUsage: true,
	}
	root.AddCommand(
		distribute.New(),
		poison.New(),
	)
	if root.Execute() != nil {
		os.Exit(1)
	}
}

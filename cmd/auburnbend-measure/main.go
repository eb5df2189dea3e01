// Command auburnbend-measure runs the project's measurements, one per subcommand, and
// prints their results as JSON lines.
package main

import (
	"os"

	"github.com/spf13/cobra"

	"github.com/auburnbend/auburnbend/internal/measure/capacity"
	"github.com/auburnbend/auburnbend/internal/measure/catchup"
	"github.com/auburnbend/auburnbend/internal/measure/config"
	"github.com/auburnbend/auburnbend/internal/measure/distribute"
	"github.com/auburnbend/auburnbend/internal/measure/drain"
	"github.com/auburnbend/auburnbend/internal/measure/latency"
	"github.com/auburnbend/auburnbend/internal/measure/overload"
	"github.com/auburnbend/auburnbend/internal/measure/poison"
	"github.com/auburnbend/auburnbend/internal/measure/route"
	"github.com/auburnbend/auburnbend/internal/measure/signals"
)

func main() {
	root := &cobra.Command{
		Use:          "auburnbend-measure",
		Short:        "Run measurements and print their results as JSON lines",
		SilenceUsage: true,
	}
	root.AddCommand(
		distribute.NewCommand(),
		route.NewCommand(),
		overload.NewCommand(),
		poison.NewCommand(),
		capacity.NewCommand(),
		config.NewCommand(),
		catchup.NewCommand(),
		drain.NewCommand(),
		latency.NewCommand(),
		signals.NewCommand(),
	)
	if root.Execute() != nil {
		os.Exit(1)
	}
}

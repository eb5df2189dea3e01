// Package catchup measures how long an entry takes after a cut until the newest
// configuration is in force, by the number of changes that it has missed.
package catchup

import (
	"context"
	"fmt"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/spf13/cobra"

	"github.com/auburnbend/auburnbend/internal/measure/figure"
)

const (
	// linkRate is the bandwidth between two regions in bytes per second.
	linkRate = 20e6 / 8
	// packetBytes is the size of the packets on the link.
	packetBytes = 1500
	// catchUpTime bounds one measurement. Two hundred configurations of 2,500 routes take
	// less over the link.
	catchUpTime = 3 * time.Minute
)

type options struct {
	bound          time.Duration
	routes, missed []int
	rounds         int
	silent         bool
}

// NewCommand returns the catchup subcommand.
func NewCommand() *cobra.Command {
	var o options
	c := &cobra.Command{
		Use:   "catchup",
		Short: "Measure time and bytes from the end of a cut to the newest configuration in force",
		Args:  cobra.NoArgs,
		// A figure out of bounds is not a usage error.
		SilenceUsage: true,
		RunE: func(c *cobra.Command, _ []string) error {
			return measure(c.Context(), o, figure.NewPrinter(c.OutOrStdout()))
		},
	}
	flags := c.Flags()
	flags.DurationVar(&o.bound, "bound", 2*time.Second, "time within which a configuration must be in force; the cut lasts twice as long")
	flags.IntSliceVar(&o.routes, "routes", []int{250, 2500}, "routes of a configuration")
	flags.IntSliceVar(&o.missed, "missed", []int{1, 20, 200}, "configurations that are written during the cut")
	flags.IntVar(&o.rounds, "rounds", 3, "cuts of each kind; the figure is the median")
	flags.BoolVar(&o.silent, "unnoticed", false, "the changes come while the entry reads nothing, and no call fails")
	return c
}

func measure(ctx context.Context, o options, p *figure.Printer) error {
	if o.rounds < 1 || o.bound <= 0 {
		return merry.New("--rounds and --bound must be positive")
	}
	for _, routes := range o.routes {
		for _, missed := range o.missed {
			r, err := measureCuts(ctx, o, routes, missed)
			if err != nil {
				return err
			}
			name := fmt.Sprintf("catchup_%d_routes_%d_missed", routes, missed)
			for _, f := range []figure.Figure{
				{Name: name + "_time", Value: r.time.Seconds(), Unit: "s", Bound: figure.AtMost(o.bound.Seconds())},
				{Name: name + "_bytes", Value: float64(r.bytes), Unit: "bytes"},
				{Name: name + "_calls", Value: float64(r.calls), Unit: "calls"},
				{Name: name + "_applied", Value: float64(r.applied), Unit: "configurations"},
			} {
				if err := p.Print(f); err != nil {
					return err
				}
			}
		}
	}
	return p.Err()
}

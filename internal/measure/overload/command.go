// Package overload measures admission control in simulated time: goodput beyond
// capacity, and the responses of tenants within their share while another tenant
// sends a multiple of its own. The baseline is round robin with unlimited queues
// and three retries.
package overload

import (
	"io"
	"time"

	"github.com/spf13/cobra"

	"github.com/auburnbend/auburnbend/internal/measure/figure"
	"github.com/auburnbend/auburnbend/internal/measure/fleet"
)

// Load factors and targets of the experiment.
const (
	overloadFactor  = 1.5
	minGoodputRatio = 0.9
	aggressorFactor = 10
	minInTimeShare  = 0.95
)

// searchStep is the resolution of the capacity search in requests per second.
const searchStep = 2

// NewCommand returns the overload subcommand.
func NewCommand() *cobra.Command {
	var seed uint64
	cmd := &cobra.Command{
		Use:   "overload",
		Short: "Measure goodput and fairness beyond capacity",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return run(cmd.OutOrStdout(), seed)
		},
	}
	cmd.Flags().Uint64Var(&seed, "seed", 1, "seed of the measured runs")
	return cmd
}

func run(w io.Writer, seed uint64) error {
	capacity := fleet.FindCapacity(fleet.Config{}, fleet.SearchSeeds(seed), searchStep)
	figures := append(measureGoodput(seed, capacity), measureFairness(seed, capacity)...)
	return fleet.PrintFigures(w, figures)
}

// measureGoodput compares the rate of responses in time at capacity and beyond.
func measureGoodput(seed uint64, capacity float64) []figure.Figure {
	runAt := func(rate float64, baseline bool) fleet.Result {
		return fleet.Run(fleet.Config{Seed: seed, Rates: fleet.EvenRates(rate), Baseline: baseline})
	}
	full, over := runAt(capacity, false), runAt(capacity*overloadFactor, false)
	baselineFull, baselineOver := runAt(capacity, true), runAt(capacity*overloadFactor, true)
	refusal := float64(fleet.Quantile(over.RefusalDelay, 0.99).Microseconds()) / 1000
	total := over.Total()
	return []figure.Figure{
		fleet.WithBaseline(figure.Figure{Name: "overload_goodput_at_capacity", Value: full.Goodput(), Unit: "answers/s"}, baselineFull.Goodput()),
		fleet.WithBaseline(figure.Figure{Name: "overload_goodput_at_1_5x", Value: over.Goodput(), Unit: "answers/s"}, baselineOver.Goodput()),
		fleet.WithBaseline(figure.Figure{Name: "overload_goodput_ratio", Value: over.Goodput() / full.Goodput(), Unit: "share", Bound: figure.AtLeast(minGoodputRatio)}, baselineOver.Goodput()/full.Goodput()),
		{Name: "overload_late_share_at_1_5x", Value: float64(total.Late) / float64(total.Offered), Unit: "share"},
		{Name: "overload_refusal_delay_p99", Value: refusal, Unit: "ms"},
		{Name: "overload_prefix_hit_share_at_1_5x", Value: over.PrefixHitRatio, Unit: "share"},
	}
}

// fairnessWindow gives a tenant some 3000 arrivals, so that their number is close
// to its mean.
const fairnessWindow = 180 * time.Second

// measureFairness has one tenant send aggressorFactor times its share while all
// others send their share on average. Arrivals are random, so some of the others
// exceed their share; the within-share figure leaves them out, the about-share
// figures include them.
func measureFairness(seed uint64, capacity float64) []figure.Figure {
	rates := fleet.EvenRates(capacity)
	rates[fleet.TenantName(0)] *= aggressorFactor
	share := int(capacity / fleet.NumTenants * fairnessWindow.Seconds())
	// The results are the shares of requests answered in time: the lowest among
	// tenants within their share, the lowest among all but the aggressor, and the
	// mean of the latter.
	inTimeShares := func(baseline bool) (within, all, mean float64) {
		r := fleet.Run(fleet.Config{Seed: seed, Rates: rates, Window: fairnessWindow, Baseline: baseline})
		within, all = 1, 1
		for n := 1; n < fleet.NumTenants; n++ {
			counts := r.Tenants[fleet.TenantName(n)]
			inTime := counts.InTimeShare()
			if counts.Offered <= share {
				within = min(within, inTime)
			}
			all = min(all, inTime)
			mean += inTime / (fleet.NumTenants - 1)
		}
		return within, all, mean
	}
	within, all, mean := inTimeShares(false)
	baselineWithin, baselineAll, baselineMean := inTimeShares(true)
	return []figure.Figure{
		fleet.WithBaseline(figure.Figure{Name: "overload_within_share_in_time_min", Value: within, Unit: "share", Bound: figure.AtLeast(minInTimeShare)}, baselineWithin),
		fleet.WithBaseline(figure.Figure{Name: "overload_about_share_in_time_min", Value: all, Unit: "share"}, baselineAll),
		fleet.WithBaseline(figure.Figure{Name: "overload_about_share_in_time_mean", Value: mean, Unit: "share"}, baselineMean),
	}
}

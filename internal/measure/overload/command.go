// Package overload measures admission: goodput past capacity, and the answers
// of tenants within their share while another sends a multiple of its own,
// against round robin with unlimited queues and three retries.
package overload

import (
	"io"
	"time"

	"github.com/spf13/cobra"

	"github.com/auburnbend/auburnbend/internal/measure/figure"
	"github.com/auburnbend/auburnbend/internal/measure/fleet"
)

// Stated targets.
const (
	overloadFactor  = 1.5
	minGoodputRatio = 0.9
	aggressorFactor = 10
	minInTimeShare  = 0.95
)

// searchStep is the precision of the capacity search in requests per second.
const searchStep = 2

// New returns the subcommand.
func New() *cobra.Command {
	var seed uint64
	cmd := &cobra.Command{
		Use:   "overload",
		Short: "Measure goodput and fairness past capacity",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return run(cmd.OutOrStdout(), seed)
		},
	}
	cmd.Flags().Uint64Var(&seed, "seed", 1, "seed of the measurement")
	return cmd
}

func run(w io.Writer, seed uint64) error {
	capacity := fleet.FindCapacity(fleet.Config{}, fleet.SearchSeeds(seed), searchStep)
	figures := append(measureGoodput(seed, capacity), measureFairness(seed, capacity)...)
	return fleet.PrintFigures(w, figures)
}

// measureGoodput compares the answers in time at and past capacity.
func measureGoodput(seed uint64, capacity float64) []figure.Figure {
	at := func(rate float64, baseline bool) fleet.Result {
		return fleet.Run(fleet.Config{Seed: seed, Rates: fleet.EvenRates(rate), Baseline: baseline})
	}
	full, over := at(capacity, false), at(capacity*overloadFactor, false)
	plainFull, plainOver := at(capacity, true), at(capacity*overloadFactor, true)
	refusal := float64(fleet.Quantile(over.RefusalDelay, 0.99).Microseconds()) / 1000
	total := over.Total()
	return []figure.Figure{
		fleet.WithBaseline(figure.Figure{Name: "overload_goodput_at_capacity", Value: full.Goodput(), Unit: "answers/s"}, plainFull.Goodput()),
		fleet.WithBaseline(figure.Figure{Name: "overload_goodput_at_1_5x", Value: over.Goodput(), Unit: "answers/s"}, plainOver.Goodput()),
		fleet.WithBaseline(figure.Figure{Name: "overload_goodput_ratio", Value: over.Goodput() / full.Goodput(), Unit: "share", Bound: figure.AtLeast(minGoodputRatio)}, plainOver.Goodput()/full.Goodput()),
		{Name: "overload_late_share_at_1_5x", Value: float64(total.Late) / float64(total.Offered), Unit: "share"},
		{Name: "overload_refusal_delay_p99", Value: refusal, Unit: "ms"},
		{Name: "overload_prefix_hit_share_at_1_5x", Value: over.PrefixHitRatio, Unit: "share"},
	}
}

// fairnessWindow is long enough for the arrivals of a tenant to come close to
// their mean: some 3000 requests.
const fairnessWindow = 180 * time.Second

// measureFairness has one tenant send a multiple of its share while all others send
// theirs on average. Arrivals are random, so some of the others send more than
// their share; these are not within it and count in the second figure only.
func measureFairness(seed uint64, capacity float64) []figure.Figure {
	rates := fleet.EvenRates(capacity)
	rates[fleet.TenantName(0)] *= aggressorFactor
	share := int(capacity / fleet.NumTenants * fairnessWindow.Seconds())
	lowest := func(baseline bool) (within, all, mean float64) {
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
	within, all, mean := lowest(false)
	plainWithin, plainAll, plainMean := lowest(true)
	return []figure.Figure{
		fleet.WithBaseline(figure.Figure{Name: "overload_within_share_in_time_min", Value: within, Unit: "share", Bound: figure.AtLeast(minInTimeShare)}, plainWithin),
		fleet.WithBaseline(figure.Figure{Name: "overload_about_share_in_time_min", Value: all, Unit: "share"}, plainAll),
		fleet.WithBaseline(figure.Figure{Name: "overload_about_share_in_time_mean", Value: mean, Unit: "share"}, plainMean),
	}
}

// Package route measures routing: prefix cache hits, imbalance and latency at
// capacity compared with round robin, the CPU cost of a pick, and the connections
// between entries and agents.
package route

import (
	"io"

	"github.com/spf13/cobra"

	"github.com/auburnbend/auburnbend/internal/measure/figure"
	"github.com/auburnbend/auburnbend/internal/measure/fleet"
)

// NewCommand returns the route subcommand.
func NewCommand() *cobra.Command {
	var seed uint64
	cmd := &cobra.Command{
		Use:   "route",
		Short: "Measure routing at capacity, pick time and connection subsets",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return run(cmd.OutOrStdout(), seed)
		},
	}
	cmd.Flags().Uint64Var(&seed, "seed", 1, "seed of the measured runs")
	return cmd
}

// searchStep is the resolution of the capacity search in requests per second.
const searchStep = 2

func run(w io.Writer, seed uint64) error {
	figures := measureAtCapacity(seed)
	figures = append(figures, measurePickTime(seed))
	figures = append(figures, measureSubsets(seed)...)
	return fleet.PrintFigures(w, figures)
}

// measureAtCapacity finds the capacities and runs the system, the system without
// affinity, and round robin at the system's capacity.
func measureAtCapacity(seed uint64) []figure.Figure {
	seeds := fleet.SearchSeeds(seed)
	capacity := fleet.FindCapacity(fleet.Config{}, seeds, searchStep)
	baselineCapacity := fleet.FindCapacity(fleet.Config{Baseline: true}, seeds, searchStep)
	uneven := fleet.FindCapacity(fleet.Config{UnevenEngines: true}, seeds, searchStep)
	baselineUneven := fleet.FindCapacity(fleet.Config{UnevenEngines: true, Baseline: true}, seeds, searchStep)
	rates := fleet.EvenRates(capacity)
	system := fleet.Run(fleet.Config{Seed: seed, Rates: rates})
	baseline := fleet.Run(fleet.Config{Seed: seed, Rates: rates, Baseline: true})
	noAffinity := fleet.Run(fleet.Config{Seed: seed, Rates: rates, NoAffinity: true})

	p95Millis := func(r fleet.Result, betweenTokens bool) float64 {
		values := r.FirstToken
		if betweenTokens {
			values = r.BetweenTokens
		}
		return float64(fleet.Quantile(values, fleet.InTimeTarget).Microseconds()) / 1000
	}
	maxFirstToken := float64(fleet.FirstTokenTarget.Milliseconds())
	maxBetweenTokens := float64(fleet.BetweenTokensTarget.Milliseconds())
	return []figure.Figure{
		fleet.WithBaseline(figure.Figure{Name: "route_capacity", Value: capacity, Unit: "requests/s"}, baselineCapacity),
		fleet.WithBaseline(figure.Figure{Name: "route_capacity_uneven_engines", Value: uneven, Unit: "requests/s"}, baselineUneven),
		fleet.WithBaseline(figure.Figure{Name: "route_in_time_at_capacity", Value: system.Total().InTimeShare(), Unit: "share", Bound: figure.AtLeast(fleet.InTimeTarget)}, baseline.Total().InTimeShare()),
		fleet.WithBaseline(figure.Figure{Name: "route_first_token_p95_at_capacity", Value: p95Millis(system, false), Unit: "ms", Bound: figure.AtMost(maxFirstToken)}, p95Millis(baseline, false)),
		fleet.WithBaseline(figure.Figure{Name: "route_between_tokens_p95_at_capacity", Value: p95Millis(system, true), Unit: "ms", Bound: figure.AtMost(maxBetweenTokens)}, p95Millis(baseline, true)),
		fleet.WithBaseline(figure.Figure{Name: "route_prefix_hit_share", Value: system.PrefixHitRatio, Unit: "share"}, baseline.PrefixHitRatio),
		fleet.WithBaseline(figure.Figure{Name: "route_prefix_hit_share_without_affinity", Value: noAffinity.PrefixHitRatio, Unit: "share"}, baseline.PrefixHitRatio),
		fleet.WithBaseline(figure.Figure{Name: "route_in_time_without_affinity", Value: noAffinity.Total().InTimeShare(), Unit: "share"}, baseline.Total().InTimeShare()),
		fleet.WithBaseline(figure.Figure{Name: "route_imbalance", Value: system.Imbalance, Unit: "max/mean"}, baseline.Imbalance),
	}
}

package poison

import (
	"io"

	"github.com/auburnbend/auburnbend/internal/measure/figure"
)

// maxLostServers is the bound of the design page on backend servers lost to one
// fingerprint.
const maxLostServers = 2

// printFigures prints what the runs came to, with plain retries as the baseline.
// It returns an error when a figure misses its bound.
func printFigures(w io.Writer, ours, plain Total) error {
	base := func(v float64) *float64 { return &v }
	p := figure.NewPrinter(w)
	for _, f := range []figure.Figure{
		{Name: "poison_backend_servers_lost_max", Value: float64(ours.MaxLostServers), Unit: "backend servers", Bound: figure.AtMost(maxLostServers), Baseline: base(float64(plain.MaxLostServers))},
		{Name: "poison_backend_servers_lost_mean", Value: ours.mean(ours.LostServers), Unit: "backend servers", Baseline: base(plain.mean(plain.LostServers))},
		{Name: "poison_innocents_quarantined", Value: float64(ours.Quarantined), Unit: "requests", Bound: figure.AtMost(0), Baseline: base(float64(plain.Quarantined))},
		{Name: "poison_innocents_answered", Value: ours.answeredShare(), Unit: "share", Baseline: base(plain.answeredShare())},
		{Name: "poison_innocent_delay_max", Value: ours.MaxDelay.Seconds(), Unit: "s", Baseline: base(plain.MaxDelay.Seconds())},
	} {
		if err := p.Print(f); err != nil {
			return err
		}
	}
	return p.Err()
}

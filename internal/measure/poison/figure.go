package poison

import (
	"io"

	"github.com/auburnbend/auburnbend/internal/measure/figure"
)

// boundLost is the bound of the design page on backend servers lost to one
// fingerprint.
const boundLost = 2

// printFigures prints what the runs came to, with plain retries as the baseline.
// It returns an error when a figure misses its bound.
func printFigures(w io.Writer, ours, plain Total) error {
	base := func(v float64) *float64 { return &v }
	p := figure.NewPrinter(w)
	for _, f := range []figure.Figure{
		{Name: "poison_backend_servers_lost_max", Value: float64(ours.MaxLost), Unit: "backend servers", Bound: figure.AtMost(boundLost), Baseline: base(float64(plain.MaxLost))},
		{Name: "poison_backend_servers_lost_mean", Value: ours.mean(ours.Lost), Unit: "backend servers", Baseline: base(plain.mean(plain.Lost))},
		{Name: "poison_innocents_quarantined", Value: float64(ours.Quarantined), Unit: "requests", Bound: figure.AtMost(0), Baseline: base(float64(plain.Quarantined))},
		{Name: "poison_innocents_answered", Value: ours.answered(), Unit: "share", Baseline: base(plain.answered())},
		{Name: "poison_innocent_delay_max", Value: ours.MaxDelay.Seconds(), Unit: "s", Baseline: base(plain.MaxDelay.Seconds())},
	} {
		if err := p.Print(f); err != nil {
			return err
		}
	}
	return p.Err()
}

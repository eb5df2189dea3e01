package poison

import (
	"io"

	"github.com/auburnbend/auburnbend/internal/measure/figure"
)

// maxLostServers is the target for the number of backend servers lost to one
// fingerprint.
const maxLostServers = 2

// printFigures prints the totals of the runs with monitors, with plain retries as
// the baseline. It returns an error if a figure is out of bounds.
func printFigures(w io.Writer, monitored, baseline Total) error {
	ptr := func(v float64) *float64 { return &v }
	p := figure.NewPrinter(w)
	for _, f := range []figure.Figure{
		{Name: "poison_backend_servers_lost_max", Value: float64(monitored.MaxLostServers), Unit: "backend servers", Bound: figure.AtMost(maxLostServers), Baseline: ptr(float64(baseline.MaxLostServers))},
		{Name: "poison_backend_servers_lost_mean", Value: monitored.mean(monitored.LostServers), Unit: "backend servers", Baseline: ptr(baseline.mean(baseline.LostServers))},
		{Name: "poison_innocents_quarantined", Value: float64(monitored.Quarantined), Unit: "requests", Bound: figure.AtMost(0), Baseline: ptr(float64(baseline.Quarantined))},
		{Name: "poison_innocents_answered", Value: monitored.answeredShare(), Unit: "share", Baseline: ptr(baseline.answeredShare())},
		{Name: "poison_innocent_delay_max", Value: monitored.MaxDelay.Seconds(), Unit: "s", Baseline: ptr(baseline.MaxDelay.Seconds())},
	} {
		if err := p.Print(f); err != nil {
			return err
		}
	}
	return p.Err()
}

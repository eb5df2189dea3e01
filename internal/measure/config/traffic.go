package config

import (
	"time"

	"github.com/auburnbend/auburnbend/internal/configsim"
	"github.com/auburnbend/auburnbend/internal/measure/figure"
)

// usage is the average of sent and received bytes of one kind of node.
type usage struct{ entry, agent float64 }

// traffic measures the bytes per change and node, against whole snapshots. It
// simulates 3 of 15 domains with 40 entries and 667 agents each, which gives
// each node the connections that it has among 600 entries and 10,000 agents.
func traffic(printer *figure.Printer, seed int64) error {
	const changes = 10
	pace := load{"daily", dailyPause, changes}
	deltas, err := measureTraffic(seed, pace, false)
	if err != nil {
		return err
	}
	snapshots, err := measureTraffic(seed, pace, true)
	if err != nil {
		return err
	}
	burst, err := measureTraffic(seed, load{"burst", burstPause, burstChanges}, false)
	if err != nil {
		return err
	}
	daily := dailyPause.Seconds()
	burstSeconds := (burstChanges * burstPause).Seconds()
	for _, f := range []figure.Figure{
		{Name: "config_bytes_per_change_entry", Value: deltas.entry / changes, Unit: "bytes", Baseline: ptr(snapshots.entry / changes)},
		{Name: "config_bytes_per_change_agent", Value: deltas.agent / changes, Unit: "bytes", Baseline: ptr(snapshots.agent / changes)},
		{Name: "config_daily_rate_entry", Value: deltas.entry / changes / daily, Unit: "bytes/s", Bound: figure.AtMost(controlBound), Baseline: ptr(snapshots.entry / changes / daily)},
		{Name: "config_daily_rate_agent", Value: deltas.agent / changes / daily, Unit: "bytes/s", Bound: figure.AtMost(controlBound), Baseline: ptr(snapshots.agent / changes / daily)},
		{Name: "config_burst_rate_entry", Value: burst.entry / burstSeconds, Unit: "bytes/s", Bound: figure.AtMost(controlBound)},
		{Name: "config_burst_rate_agent", Value: burst.agent / burstSeconds, Unit: "bytes/s", Bound: figure.AtMost(controlBound)},
	} {
		if err := printer.Print(f); err != nil {
			return err
		}
	}
	return nil
}

func measureTraffic(seed int64, l load, whole bool) (usage, error) {
	s := configsim.New(configsim.Config{Domains: 3, EntriesPerDomain: 40, AgentsPerDomain: 667, FullSnapshots: whole, Seed: seed})
	o := s.NewOperator()
	if err := o.ApplyChange(s); err != nil {
		return usage{}, err
	}
	s.StartAll()
	s.Run(startTime)
	for _, n := range s.Nodes {
		n.SentBytes, n.ReceivedBytes = 0, 0
	}
	if err := makeChanges(s, o, l); err != nil {
		return usage{}, err
	}
	s.Run(5 * time.Second)
	var sum usage
	var entries, agents float64
	for _, n := range s.Nodes {
		bytes := float64(n.SentBytes + n.ReceivedBytes)
		if n.IsAgent() {
			agents++
			sum.agent += bytes
		} else {
			entries++
			sum.entry += bytes
		}
	}
	return usage{entry: sum.entry / entries, agent: sum.agent / agents}, nil
}

func ptr(v float64) *float64 { return &v }

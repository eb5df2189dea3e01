package config

import (
	"time"

	"github.com/auburnbend/auburnbend/internal/configsim"
	"github.com/auburnbend/auburnbend/internal/measure/figure"
)

// nodeBytes holds the mean of the bytes sent and received by an entry and by an
// agent.
type nodeBytes struct{ entry, agent float64 }

// reportTraffic measures the bytes per change and node. The baseline sends full
// snapshots. The simulation has 3 of 15 domains with 40 entries and 667 agents
// each, which gives each node as many connections as it has among 600 entries and
// 10,000 agents.
func reportTraffic(printer *figure.Printer, seed int64) error {
	const changes = 10
	daily := changeLoad{"daily", dailyInterval, changes}
	deltas, err := measureTraffic(seed, daily, false)
	if err != nil {
		return err
	}
	snapshots, err := measureTraffic(seed, daily, true)
	if err != nil {
		return err
	}
	burst, err := measureTraffic(seed, changeLoad{"burst", burstInterval, burstChanges}, false)
	if err != nil {
		return err
	}
	dailySeconds := dailyInterval.Seconds()
	burstSeconds := (burstChanges * burstInterval).Seconds()
	for _, f := range []figure.Figure{
		{Name: "config_bytes_per_change_entry", Value: deltas.entry / changes, Unit: "bytes", Baseline: ptr(snapshots.entry / changes)},
		{Name: "config_bytes_per_change_agent", Value: deltas.agent / changes, Unit: "bytes", Baseline: ptr(snapshots.agent / changes)},
		{Name: "config_daily_rate_entry", Value: deltas.entry / changes / dailySeconds, Unit: "bytes/s", Bound: figure.AtMost(maxControlBytesPerSecond), Baseline: ptr(snapshots.entry / changes / dailySeconds)},
		{Name: "config_daily_rate_agent", Value: deltas.agent / changes / dailySeconds, Unit: "bytes/s", Bound: figure.AtMost(maxControlBytesPerSecond), Baseline: ptr(snapshots.agent / changes / dailySeconds)},
		{Name: "config_burst_rate_entry", Value: burst.entry / burstSeconds, Unit: "bytes/s", Bound: figure.AtMost(maxControlBytesPerSecond)},
		{Name: "config_burst_rate_agent", Value: burst.agent / burstSeconds, Unit: "bytes/s", Bound: figure.AtMost(maxControlBytesPerSecond)},
	} {
		if err := printer.Print(f); err != nil {
			return err
		}
	}
	return nil
}

func measureTraffic(seed int64, l changeLoad, fullSnapshots bool) (nodeBytes, error) {
	s := configsim.New(configsim.Config{Domains: 3, EntriesPerDomain: 40, AgentsPerDomain: 667, FullSnapshots: fullSnapshots, Seed: seed})
	o := s.NewOperator()
	if err := o.ApplyChange(s); err != nil {
		return nodeBytes{}, err
	}
	s.StartAll()
	s.Run(warmupTime)
	for _, n := range s.Nodes {
		n.SentBytes, n.ReceivedBytes = 0, 0
	}
	if err := applyChanges(s, o, l); err != nil {
		return nodeBytes{}, err
	}
	s.Run(5 * time.Second)
	var sum nodeBytes
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
	return nodeBytes{entry: sum.entry / entries, agent: sum.agent / agents}, nil
}

func ptr(v float64) *float64 { return &v }

package config

import (
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/auburnbend/auburnbend/internal/configsim"
	"github.com/auburnbend/auburnbend/internal/measure/figure"
)

const (
	// dailyInterval is the time between two changes at 6,000 changes a day.
	dailyInterval = 24 * time.Hour / 6000
	// burstInterval spreads 50 changes over 10 s.
	burstInterval = 200 * time.Millisecond
	burstChanges  = 50
	// warmupTime lets a simulated deployment reach its steady state.
	warmupTime = 20 * time.Second
	// partitionedDomain is the index of the failure domain that is partitioned.
	partitionedDomain = 1
)

// changeLoad describes a series of changes at equal intervals.
type changeLoad struct {
	name     string
	interval time.Duration
	count    int
}

// reportPropagation measures the time until a change is in force on all nodes: with
// one domain cut off from the store but not from its peers, and after that domain
// was cut off from both.
func reportPropagation(printer *figure.Printer, seed int64) error {
	deployments := []struct {
		name string
		cfg  configsim.Config
	}{
		{"today", configsim.Config{Domains: 3, EntriesPerDomain: 3, AgentsPerDomain: 5, Seed: seed}},
		{"600_entries", configsim.Config{Domains: 15, EntriesPerDomain: 40, AgentsPerDomain: 4, Seed: seed}},
	}
	loads := []changeLoad{{"daily", dailyInterval, 20}, {"burst", burstInterval, burstChanges}}
	for _, d := range deployments {
		for _, l := range loads {
			if err := measurePropagation(printer, d.name+"_"+l.name, d.cfg, l); err != nil {
				return err
			}
		}
	}
	return nil
}

func measurePropagation(printer *figure.Printer, name string, cfg configsim.Config, l changeLoad) error {
	s := configsim.New(cfg)
	o := s.NewOperator()
	if err := o.ApplyChange(s); err != nil {
		return err
	}
	s.StartAll()
	s.Run(warmupTime)
	s.StoreUnreachable[partitionedDomain] = true
	if err := applyChanges(s, o, l); err != nil {
		return err
	}
	s.Run(maxPropagationSeconds * time.Second)
	maxDelay := time.Duration(0)
	for number := 2; number < len(o.AcceptedAt); number++ {
		delay, missing := s.PropagationDelay(uint64(number), o.AcceptedAt[number], nil)
		if missing > 0 {
			return merry.Errorf("%s: revision %d did not reach %d nodes", name, number, missing)
		}
		maxDelay = max(maxDelay, delay)
	}
	s.PeersUnreachable[partitionedDomain] = true
	if err := o.ApplyChange(s); err != nil {
		return err
	}
	s.Run(time.Minute)
	reconnectedAt := s.Now()
	s.StoreUnreachable[partitionedDomain], s.PeersUnreachable[partitionedDomain] = false, false
	s.Run(maxPropagationSeconds * time.Second)
	reconnectDelay, missing := s.PropagationDelay(uint64(len(o.AcceptedAt)-1), reconnectedAt, func(n *configsim.Node) bool { return n.Domain() == partitionedDomain })
	if missing > 0 {
		return merry.Errorf("%s: %d nodes of the partitioned domain are behind after it was reconnected", name, missing)
	}
	for _, f := range []figure.Figure{
		{Name: "config_in_force_" + name, Value: maxDelay.Seconds(), Unit: "s", Bound: figure.AtMost(maxPropagationSeconds)},
		{Name: "config_after_healing_" + name, Value: reconnectDelay.Seconds(), Unit: "s", Bound: figure.AtMost(maxPropagationSeconds)},
	} {
		if err := printer.Print(f); err != nil {
			return err
		}
	}
	return nil
}

func applyChanges(s *configsim.Sim, o *configsim.Operator, l changeLoad) error {
	for range l.count {
		if err := o.ApplyChange(s); err != nil {
			return err
		}
		s.Run(l.interval)
	}
	return nil
}

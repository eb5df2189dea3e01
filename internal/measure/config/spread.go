package config

import (
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/auburnbend/auburnbend/internal/configsim"
	"github.com/auburnbend/auburnbend/internal/measure/figure"
)

const (
	// dailyPause is the time between two of 6,000 changes a day.
	dailyPause = 24 * time.Hour / 6000
	// burstPause spreads 50 changes over 10 s.
	burstPause   = 200 * time.Millisecond
	burstChanges = 50
	// startTime lets a simulated deployment reach its regular state.
	startTime = 20 * time.Second
	// cutDomain is the domain that is cut off.
	cutDomain = 1
)

// load is a series of changes.
type load struct {
	name    string
	pause   time.Duration
	changes int
}

// spread measures the time until a change is in force everywhere, with one
// domain cut off from the store and not from peers, and after a cut from all.
func spread(printer *figure.Printer, seed int64) error {
	shapes := []struct {
		name string
		cfg  configsim.Config
	}{
		{"today", configsim.Config{Domains: 3, EntriesPerDomain: 3, AgentsPerDomain: 5, Seed: seed}},
		{"600_entries", configsim.Config{Domains: 15, EntriesPerDomain: 40, AgentsPerDomain: 4, Seed: seed}},
	}
	loads := []load{{"daily", dailyPause, 20}, {"burst", burstPause, burstChanges}}
	for _, shape := range shapes {
		for _, l := range loads {
			if err := spreadOnce(printer, shape.name+"_"+l.name, shape.cfg, l); err != nil {
				return err
			}
		}
	}
	return nil
}

func spreadOnce(printer *figure.Printer, name string, cfg configsim.Config, l load) error {
	s := configsim.New(cfg)
	o := s.NewOperator()
	if err := o.ApplyChange(s); err != nil {
		return err
	}
	s.StartAll()
	s.Run(startTime)
	s.StoreUnreachable[cutDomain] = true
	if err := makeChanges(s, o, l); err != nil {
		return err
	}
	s.Run(inForceBound * time.Second)
	worst := time.Duration(0)
	for number := 2; number < len(o.AcceptedAt); number++ {
		slowest, missing := s.PropagationDelay(uint64(number), o.AcceptedAt[number], nil)
		if missing > 0 {
			return merry.Errorf("%s: revision %d is missing on %d nodes", name, number, missing)
		}
		worst = max(worst, slowest)
	}
	s.PeersUnreachable[cutDomain] = true
	if err := o.ApplyChange(s); err != nil {
		return err
	}
	s.Run(time.Minute)
	healed := s.Now()
	s.StoreUnreachable[cutDomain], s.PeersUnreachable[cutDomain] = false, false
	s.Run(inForceBound * time.Second)
	afterHealing, missing := s.PropagationDelay(uint64(len(o.AcceptedAt)-1), healed, func(n *configsim.Node) bool { return n.Domain() == cutDomain })
	if missing > 0 {
		return merry.Errorf("%s: %d nodes are behind after healing", name, missing)
	}
	for _, f := range []figure.Figure{
		{Name: "config_in_force_" + name, Value: worst.Seconds(), Unit: "s", Bound: figure.AtMost(inForceBound)},
		{Name: "config_after_healing_" + name, Value: afterHealing.Seconds(), Unit: "s", Bound: figure.AtMost(inForceBound)},
	} {
		if err := printer.Print(f); err != nil {
			return err
		}
	}
	return nil
}

func makeChanges(s *configsim.Sim, o *configsim.Operator, l load) error {
	for range l.changes {
		if err := o.ApplyChange(s); err != nil {
			return err
		}
		s.Run(l.pause)
	}
	return nil
}

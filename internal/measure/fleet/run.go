// Package fleet is a model of callers, entries and engines in simulated time.
// It runs the real Picker, Queue and Limiter, or plain round robin, against
// engines that batch continuously, cache prefixes in limited memory and report
// late. A run depends only on its Config.
package fleet

import (
	"maps"
	"slices"
	"time"

	"github.com/auburnbend/auburnbend/lib/model"
)

// Config describes one run. Zero fields take the defaults.
type Config struct {
	Seed    uint64
	Engines int
	Entries int
	Engine  EngineConfig
	// Rates holds the requests per second of each tenant. All tenants have
	// equal shares.
	Rates map[model.Tenant]float64
	// Warmup is run but not counted; Measured is counted.
	Warmup, Measured time.Duration
	// Baseline replaces the system by round robin with unlimited queues and
	// three retries.
	Baseline bool
	// Uneven makes every third engine slower by half.
	Uneven bool
	// NoAffinity makes the system ignore prefixes.
	NoAffinity bool
}

func (c *Config) applyDefaults() {
	if c.Engines == 0 {
		c.Engines = 24
	}
	if c.Entries == 0 {
		c.Entries = 4
	}
	if c.Warmup == 0 {
		c.Warmup = 20 * time.Second
	}
	if c.Measured == 0 {
		c.Measured = 60 * time.Second
	}
	c.Engine.applyDefaults()
}

// drainTime is run after the measured time so that its answers end.
const drainTime = 60 * time.Second

// entryNode is an entry of either kind.
type entryNode interface {
	arrive(j *job)
	start()
}

// simulation is the state of one run.
type simulation struct {
	cfg     Config
	time    schedule
	work    *workload
	engines []*engine
	entries []entryNode
	result  Result
	begin   time.Time
	end     time.Time
	turn    int // entry that gets the next arrival
}

// Run runs the model once.
func Run(cfg Config) Result {
	cfg.applyDefaults()
	s := &simulation{cfg: cfg, work: newWorkload(cfg.Seed)}
	start := time.Unix(0, 0)
	s.time.now = start
	s.begin = start.Add(cfg.Warmup)
	s.end = s.begin.Add(cfg.Measured)
	s.result = Result{Tenants: make(map[model.Tenant]Counts), Measured: cfg.Measured}
	for i := range cfg.Engines {
		engine := cfg.Engine
		if cfg.Uneven && i%3 == 0 {
			engine = engine.slower()
		}
		s.engines = append(s.engines, newEngine(engine, &s.time))
	}
	for i := range cfg.Entries {
		if cfg.Baseline {
			s.entries = append(s.entries, newRoundRobin(s, i))
		} else {
			s.entries = append(s.entries, newEntry(s, i))
		}
	}
	for _, e := range s.entries {
		e.start()
	}
	for _, t := range sortedTenants(cfg.Rates) {
		s.arrivals(t, cfg.Rates[t])
	}
	s.time.runUntil(s.end)
	s.summarise()
	s.time.runUntil(s.end.Add(drainTime))
	s.closeUnanswered()
	return s.result
}

// arrivals schedules a tenant's requests.
func (s *simulation) arrivals(tenant model.Tenant, perSecond float64) {
	if perSecond <= 0 {
		return
	}
	var next func()
	next = func() {
		if s.time.now.After(s.end) {
			return
		}
		j := s.work.next(s.time.now, tenant)
		if s.counted(j) {
			s.count(j, func(c *Counts) { c.Offered++ })
		}
		// The platform's balancer spreads requests evenly.
		s.entries[s.turn%len(s.entries)].arrive(j)
		s.turn++
		s.time.after(s.work.gap(perSecond), next)
	}
	s.time.after(s.work.gap(perSecond), next)
}

func (s *simulation) counted(j *job) bool {
	return !j.arrival.Before(s.begin) && j.arrival.Before(s.end)
}

func (s *simulation) count(j *job, change func(*Counts)) {
	c := s.result.Tenants[j.tenant]
	change(&c)
	s.result.Tenants[j.tenant] = c
}

// answered counts a complete answer. first and last are when its first and last
// token reached the entry.
func (s *simulation) answered(j *job, first, last time.Time) {
	if j.answered || !s.counted(j) {
		return
	}
	j.answered = true
	toFirst := first.Sub(j.arrival)
	between := last.Sub(first) / time.Duration(max(1, j.answerTokens-1))
	s.result.FirstToken = append(s.result.FirstToken, toFirst)
	s.result.BetweenTokens = append(s.result.BetweenTokens, between)
	inTime := toFirst <= FirstTokenTarget && between <= BetweenTokensTarget
	s.count(j, func(c *Counts) {
		if inTime {
			c.InTime++
		} else {
			c.Late++
		}
	})
}

// refused counts a request that was not run.
func (s *simulation) refused(j *job) {
	if j.answered || !s.counted(j) {
		return
	}
	j.answered = true
	s.result.RefusalDelay = append(s.result.RefusalDelay, s.time.now.Sub(j.arrival))
	s.count(j, func(c *Counts) { c.Refused++ })
}

// closeUnanswered counts what had no answer at the end as late.
func (s *simulation) closeUnanswered() {
	for t, c := range s.result.Tenants {
		c.Late = c.Offered - c.InTime - c.Refused
		s.result.Tenants[t] = c
	}
}

// summarise takes the figures of the engines.
func (s *simulation) summarise() {
	var cached, prefilled int
	var busiest, sum time.Duration
	for _, e := range s.engines {
		cached += e.cached
		prefilled += e.prefilled
		busiest = max(busiest, e.occupied)
		sum += e.occupied
	}
	s.result.HitShare = float64(cached) / float64(max(1, cached+prefilled))
	s.result.Imbalance = float64(busiest) * float64(len(s.engines)) / float64(max(1, sum))
}

func sortedTenants(rates map[model.Tenant]float64) []model.Tenant {
	return slices.Sorted(maps.Keys(rates))
}

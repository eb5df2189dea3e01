// Package fleet simulates callers, entries and engines in simulated time. Entries
// use the real route.Picker, admit.Queue and admit.Limiter, or plain round robin
// as a baseline. Engines batch continuously, cache prefixes in limited memory and
// report their load with a delay. A run depends only on its Config.
package fleet

import (
	"maps"
	"slices"
	"time"

	"github.com/auburnbend/auburnbend/lib/model"
)

// Config describes one run. Zero fields take defaults, except for Seed and Rates.
type Config struct {
	Seed    uint64
	Engines int
	Entries int
	Engine  EngineConfig
	// Rates holds the mean request rate of each tenant in requests per second.
	// All tenants have equal shares.
	Rates map[model.Tenant]float64
	// Warmup is the time before the measurement window and Window the length of
	// that window. Only requests that arrive in the window are counted.
	Warmup, Window time.Duration
	// Baseline selects round robin with unlimited queues and three retries.
	Baseline bool
	// UnevenEngines makes the steps of every third engine take 1.5 times as long.
	UnevenEngines bool
	// NoAffinity makes entries ignore prefixes when they pick an engine.
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
	if c.Window == 0 {
		c.Window = 60 * time.Second
	}
	c.Engine.applyDefaults()
}

// drainTime is simulated after the measurement window, so that responses to its
// requests can complete.
const drainTime = 60 * time.Second

// entryNode is implemented by entry and by the baseline, roundRobin.
type entryNode interface {
	arrive(j *job)
	start()
}

// simulation holds the state of one run.
type simulation struct {
	cfg         Config
	scheduler   scheduler
	workload    *workload
	engines     []*engine
	entries     []entryNode
	result      Result
	windowStart time.Time
	windowEnd   time.Time
	nextEntry   int // index of the entry for the next arrival, modulo their number
}

// Run simulates the configuration once.
func Run(cfg Config) Result {
	cfg.applyDefaults()
	s := &simulation{cfg: cfg, workload: newWorkload(cfg.Seed)}
	start := time.Unix(0, 0)
	s.scheduler.now = start
	s.windowStart = start.Add(cfg.Warmup)
	s.windowEnd = s.windowStart.Add(cfg.Window)
	s.result = Result{Tenants: make(map[model.Tenant]Counts), Window: cfg.Window}
	for i := range cfg.Engines {
		engine := cfg.Engine
		if cfg.UnevenEngines && i%3 == 0 {
			engine = engine.slower()
		}
		s.engines = append(s.engines, newEngine(engine, &s.scheduler))
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
		s.startArrivals(t, cfg.Rates[t])
	}
	s.scheduler.runUntil(s.windowEnd)
	s.collectEngineStats()
	s.scheduler.runUntil(s.windowEnd.Add(drainTime))
	s.countUnanswered()
	return s.result
}

// startArrivals schedules a tenant's requests until the end of the window.
func (s *simulation) startArrivals(tenant model.Tenant, perSecond float64) {
	if perSecond <= 0 {
		return
	}
	var next func()
	next = func() {
		if s.scheduler.now.After(s.windowEnd) {
			return
		}
		j := s.workload.newJob(s.scheduler.now, tenant)
		if s.inWindow(j) {
			s.updateCounts(j, func(c *Counts) { c.Offered++ })
		}
		// The platform's load balancer spreads requests evenly.
		s.entries[s.nextEntry%len(s.entries)].arrive(j)
		s.nextEntry++
		s.scheduler.after(s.workload.drawInterval(perSecond), next)
	}
	s.scheduler.after(s.workload.drawInterval(perSecond), next)
}

func (s *simulation) inWindow(j *job) bool {
	return !j.arrival.Before(s.windowStart) && j.arrival.Before(s.windowEnd)
}

func (s *simulation) updateCounts(j *job, change func(*Counts)) {
	c := s.result.Tenants[j.tenant]
	change(&c)
	s.result.Tenants[j.tenant] = c
}

// recordResponse counts a complete response, unless the request is counted
// already. first and last are the times at which its first and last token
// reached the entry.
func (s *simulation) recordResponse(j *job, first, last time.Time) {
	if j.recorded || !s.inWindow(j) {
		return
	}
	j.recorded = true
	toFirst := first.Sub(j.arrival)
	between := last.Sub(first) / time.Duration(max(1, j.outputTokens-1))
	s.result.FirstToken = append(s.result.FirstToken, toFirst)
	s.result.BetweenTokens = append(s.result.BetweenTokens, between)
	inTime := toFirst <= FirstTokenTarget && between <= BetweenTokensTarget
	s.updateCounts(j, func(c *Counts) {
		if inTime {
			c.InTime++
		} else {
			c.Late++
		}
	})
}

// recordRefusal counts a request that was refused and not run.
func (s *simulation) recordRefusal(j *job) {
	if j.recorded || !s.inWindow(j) {
		return
	}
	j.recorded = true
	s.result.RefusalDelay = append(s.result.RefusalDelay, s.scheduler.now.Sub(j.arrival))
	s.updateCounts(j, func(c *Counts) { c.Refused++ })
}

// countUnanswered counts the requests without a response at the end as late.
func (s *simulation) countUnanswered() {
	for t, c := range s.result.Tenants {
		c.Late = c.Offered - c.InTime - c.Refused
		s.result.Tenants[t] = c
	}
}

// collectEngineStats sets the prefix hit ratio and the imbalance of the result.
func (s *simulation) collectEngineStats() {
	var cached, prefilled int
	var busiest, sum time.Duration
	for _, e := range s.engines {
		cached += e.cachedTokens
		prefilled += e.prefilledTokens
		busiest = max(busiest, e.sequenceTime)
		sum += e.sequenceTime
	}
	s.result.PrefixHitRatio = float64(cached) / float64(max(1, cached+prefilled))
	s.result.Imbalance = float64(busiest) * float64(len(s.engines)) / float64(max(1, sum))
}

func sortedTenants(rates map[model.Tenant]float64) []model.Tenant {
	return slices.Sorted(maps.Keys(rates))
}

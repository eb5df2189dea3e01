package serving

import (
	"math/rand/v2"
	"strings"
	"time"
)

// Table is an index of one configuration. It is immutable and safe for concurrent use.
type Table struct {
	config       *Config
	routesByHost map[string]map[string]*Route
	teamsByKey   map[string]*Team
	services     map[string]*Service
	// minTargets contains the lowest target latency of the routes to each service.
	minTargets map[string]time.Duration
	// rankedServices are the services to which the ranks of requests differ. rankedByTeams is
	// set if those of teams do.
	rankedServices map[string]bool
	rankedByTeams  bool
}

// NewTable indexes a configuration, which must not be modified afterwards.
func NewTable(c *Config) *Table {
	t := &Table{
		config:       c,
		routesByHost: make(map[string]map[string]*Route),
		teamsByKey:   make(map[string]*Team),
		services:     make(map[string]*Service, len(c.Services)),
		minTargets:   make(map[string]time.Duration),
	}
	t.rankedServices, t.rankedByTeams = c.rankedServices()
	for i := range c.Routes {
		r := &c.Routes[i]
		prefixes := t.routesByHost[r.Host]
		if prefixes == nil {
			prefixes = make(map[string]*Route)
			t.routesByHost[r.Host] = prefixes
		}
		prefixes[r.Prefix] = r
		t.updateMinTarget(r)
	}
	for i := range c.Teams {
		for _, key := range c.Teams[i].APIKeys {
			// A request without a key has an empty one.
			if key != "" {
				t.teamsByKey[key] = &c.Teams[i]
			}
		}
	}
	for i := range c.Services {
		t.services[c.Services[i].Name] = &c.Services[i]
	}
	return t
}

func (t *Table) updateMinTarget(r *Route) {
	for _, target := range r.Targets {
		lowest, known := t.minTargets[target.Service]
		if r.TargetLatency > 0 && (!known || r.TargetLatency < lowest) {
			t.minTargets[target.Service] = r.TargetLatency
		}
	}
}

// MinTargetLatency returns the lowest target latency of the routes to a service, or
// zero if none is declared.
func (t *Table) MinTargetLatency(service string) time.Duration { return t.minTargets[service] }

// Ranked reports whether the configuration declares ranks that differ between requests to a
// service; nil declares none.
func (t *Table) Ranked(service string) bool {
	return t != nil && (t.rankedByTeams || t.rankedServices[service])
}

// Config returns the indexed configuration.
func (t *Table) Config() *Config { return t.config }

// Route returns the route of host with the longest matching prefix of path, or nil.
// Route prefixes end with a slash, so only prefixes of path that end with a slash are
// looked up.
func (t *Table) Route(host, path string) *Route {
	prefixes := t.routesByHost[host]
	if prefixes == nil {
		return nil
	}
	for end := strings.LastIndexByte(path, '/'); end >= 0; end = strings.LastIndexByte(path[:end], '/') {
		if r := prefixes[path[:end+1]]; r != nil {
			return r
		}
	}
	return nil
}

// TeamByKey returns the team that owns an API key, or nil.
func (t *Table) TeamByKey(key string) *Team { return t.teamsByKey[key] }

// Service returns the service with the given name, or nil.
func (t *Table) Service(name string) *Service { return t.services[name] }

// PickService returns a random target service of the route, weighted by the declared
// weights. It returns an empty name if the route has no targets.
func (r *Route) PickService(rng *rand.Rand) string {
	total := 0
	for _, target := range r.Targets {
		total += target.Weight
	}
	if total <= 0 {
		if len(r.Targets) == 0 {
			return ""
		}
		return r.Targets[0].Service
	}
	n := rng.IntN(total)
	for _, target := range r.Targets {
		if n -= target.Weight; n < 0 {
			return target.Service
		}
	}
	return r.Targets[len(r.Targets)-1].Service
}

package placement

import (
	"time"

	"github.com/auburnbend/auburnbend/lib/directory"
)

// MarkSuperseded takes note that a later start of a server has its address.
func (p *Picker) MarkSuperseded(key directory.Key) { p.server(key).superseded = true }

// Report takes an agent's report on a server.
func (p *Picker) Report(key directory.Key, load Load, now time.Time) {
	s := p.server(key)
	if !load.Closed && (s.load.Closed || s.openedAt.IsZero()) {
		s.openedAt = now
	}
	s.load, s.loadAt = load, now
	s.foreign = max(0, load.Running+load.Queued-s.running.at(now.Add(-load.Age)))
	s.foreignTokens = max(0, load.PrefillTokens-s.own.PrefillTokens)
}

// UpdateCounts takes the counts that a server adds to its answers. They tell nothing of
// its pace and of whether it takes requests.
func (p *Picker) UpdateCounts(key directory.Key, running, waiting int, now time.Time) {
	s := p.server(key)
	s.load.Running, s.load.Queued = running, waiting
	s.loadAt = now
	s.foreign = max(0, running+waiting-s.own.Running)
}

// HasLoadReports reports whether the load of at least half of a service's servers in
// this region is known.
func (p *Picker) HasLoadReports(service string, now time.Time) bool {
	near, known := 0, 0
	for _, listing := range p.directory.ByService(service) {
		if p.config.Regions[listing.Domain] != p.config.Regions[p.config.Domain] {
			continue
		}
		near++
		if s := p.servers[listing.Key()]; s != nil && s.reports(now) {
			known++
		}
	}
	return 2*known >= near
}

// Prune drops the state of servers that are no longer listed and idle.
func (p *Picker) Prune() {
	listed := make(map[directory.Key]bool, p.directory.Len())
	p.directory.ForEach(func(s *directory.Server) { listed[s.Key()] = true })
	for key, s := range p.servers {
		if !listed[key] && s.own.Running == 0 {
			delete(p.servers, key)
		}
	}
}

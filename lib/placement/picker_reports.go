package placement

import (
	"time"

	"github.com/auburnbend/auburnbend/lib/directory"
)

// MarkSuperseded records that a later incarnation has taken the address of a server.
// The server gets no further requests.
func (p *Picker) MarkSuperseded(key directory.Key) { p.server(key).superseded = true }

// Report records an agent's load report on a server.
func (p *Picker) Report(key directory.Key, load Load, now time.Time) {
	load.limit()
	s := p.server(key)
	if !load.Closed && (s.load.Closed || s.openedAt.IsZero()) {
		s.openedAt = now
	}
	p.markReported(s, now)
	s.load = load
	s.otherRequests = max(0, load.Running+load.Queued-s.runningHistory.valueAt(now.Add(-load.Age)))
	s.otherPrefillTokens = max(0, load.PrefillTokens-s.usage.PrefillTokens)
}

// RecordVerified records the weights that the agent of an engine has reported as intact. An
// engine whose row names weights gets no requests before, nor while its row names a newer
// version of them.
func (p *Picker) RecordVerified(key directory.Key, w VerifiedWeights) {
	p.server(key).verifiedWeights = w
}

// WithdrawVerified records that an engine has rejected a request for its weights, or has
// ended: it gets no requests until its agent reports again.
func (p *Picker) WithdrawVerified(key directory.Key) {
	if s := p.servers[key]; s != nil {
		s.verifiedWeights.Until = time.Time{}
	}
}

// WithdrawVerifiedAt is like WithdrawVerified for all incarnations that were listed at an
// address.
func (p *Picker) WithdrawVerifiedAt(address string) {
	for _, s := range p.servers {
		if s.listing != nil && s.listing.Address == address {
			s.verifiedWeights.Until = time.Time{}
		}
	}
}

// Elapse tells that time has passed that the clock of the Picker's callers has not counted:
// reports that weights are intact expire that much earlier.
func (p *Picker) Elapse(d time.Duration) {
	for _, s := range p.servers {
		s.verifiedWeights.Until = s.verifiedWeights.Until.Add(-d)
	}
}

// ReportedClosed reports whether the current report on a server says that it accepts no
// requests, or a later incarnation has its address.
func (p *Picker) ReportedClosed(key directory.Key, now time.Time) bool {
	s := p.servers[key]
	return s != nil && (s.superseded || s.load.Closed && s.hasReport(now))
}

// Verified returns the weights that the agent of an engine last reported as intact.
func (p *Picker) Verified(key directory.Key) VerifiedWeights {
	if s := p.servers[key]; s != nil {
		return s.verifiedWeights
	}
	return VerifiedWeights{}
}

// UpdateCounts records the counts of requests that a server adds to its responses.
// They include neither its slowdown nor whether it accepts requests.
func (p *Picker) UpdateCounts(key directory.Key, running, queued int, now time.Time) {
	running, queued = limitCount(running, maxReportedRequests), limitCount(queued, maxReportedRequests)
	s := p.server(key)
	s.load.Running, s.load.Queued = running, queued
	p.markReported(s, now)
	s.otherRequests = max(0, running+queued-s.usage.Running)
}

// HasLoadReports reports whether there are current load reports of at least half of
// a service's servers in this region, without those in evacuated failure domains.
func (p *Picker) HasLoadReports(service string, now time.Time) bool {
	local, known := 0, 0
	for _, s := range p.index(service).local {
		if p.Evacuated(s.listing.Domain) {
			continue
		}
		local++
		if s.hasReport(now) {
			known++
		}
	}
	return 2*known >= local
}

// Prune drops the state of servers that are no longer listed and have no open
// requests of this entry, and that of services without servers.
func (p *Picker) Prune(now time.Time) {
	listed := make(map[directory.Key]bool, p.directory.Len())
	p.directory.ForEach(func(s *directory.Server) { listed[s.Key()] = true })
	for service := range p.serviceTimes {
		if len(p.directory.ByService(service)) == 0 {
			delete(p.serviceTimes, service)
		}
	}
	for key, s := range p.servers {
		if !listed[key] && s.usage.Running == 0 {
			delete(p.servers, key)
			delete(p.rateLimited, key)
			s.limits.each(func(l *concurrencyLimit) { p.liftLimit(s, l, now) })
		}
	}
	for service, h := range p.histories {
		if len(p.directory.ByService(service)) == 0 && h.activity.Expired(now) {
			delete(p.histories, service)
		}
	}
	for service, g := range p.gates {
		if len(p.directory.ByService(service)) == 0 {
			p.reportOverload(service, g.Close())
			delete(p.gates, service)
		}
	}
}

// markReported records the time of a report.
func (p *Picker) markReported(s *server, now time.Time) {
	if s.reportedAt.IsZero() {
		p.firstReports++
	}
	s.reportedAt = now
}

package placement

import "time"

// serviceIndex holds the servers of one service, in the order of the directory. It is
// valid until the directory changes or a server of another region reports for the first
// time.
type serviceIndex struct {
	all []*server
	// local are those of the region of this entry, near also those of other regions that
	// have reported a load.
	local, near []*server
}

// index returns the servers of a service.
func (p *Picker) index(service string) *serviceIndex {
	if g := p.directory.Generation(); g != p.indexGeneration || p.firstReports != p.indexFirstReports {
		clear(p.indexes)
		p.indexGeneration, p.indexFirstReports = g, p.firstReports
	}
	x := p.indexes[service]
	if x != nil {
		return x
	}
	x = &serviceIndex{}
	for _, listing := range p.directory.ByService(service) {
		s := p.state(listing)
		x.all = append(x.all, s)
		switch {
		case p.isLocal(s):
			x.local = append(x.local, s)
			x.near = append(x.near, s)
		case !s.reportedAt.IsZero():
			x.near = append(x.near, s)
		}
	}
	p.indexes[service] = x
	return x
}

// nearCandidates returns what candidates returns for all servers of the service. It looks
// at the near ones only, which are few also in a large fleet, and reports false if they do
// not suffice: no near server of another region is available, so that one which has not
// reported may be used.
func (p *Picker) nearCandidates(req *Request, held []string, now time.Time) (*candidateSet, bool) {
	var available []*server
	remote := false
	for _, s := range p.index(req.Service).near {
		if excluded, _ := p.exclusion(s.listing, req, now); excluded || req.excludes(s.listing.Key()) {
			continue
		}
		if p.usability(s, req, held, now) != usable {
			continue
		}
		available = append(available, s)
		remote = remote || p.isReportedRemote(s, now)
	}
	if !remote {
		return nil, false
	}
	set := p.candidates(req, nil, available, false, now)
	set.near = true
	return set, true
}

// isReportedRemote reports whether a server of another region is preferred to those that
// have not reported.
func (p *Picker) isReportedRemote(s *server, now time.Time) bool {
	return !p.isLocal(s) && !s.justOpened(now) && !s.placedRecently(now) && s.hasReport(now)
}

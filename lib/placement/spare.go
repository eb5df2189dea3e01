package placement

import "time"

// spare looks for a server of another region that can take a request which would be refused:
// those that are compared are few, and all may be busy although others have room. It takes the
// first one in random order that has a free place and is within the limit, and not the best
// one, as the entries of all regions would otherwise choose the same one. If no server of the
// own region may get the request, it also takes servers that got a request a moment ago or have
// just opened.
func (p *Picker) spare(req *Request, set *candidateSet, refusal *Refusal, now time.Time) (candidate, bool) {
	if c, found := p.firstWithinLimit(req, set.remote, refusal, now); found {
		return c, true
	}
	if (len(set.recent) > 0 || len(set.opened) > 0) && p.isLocalBarred(req, set.held) {
		for _, servers := range [][]*server{set.recent, set.opened} {
			p.shuffle(servers)
			if c, found := p.firstWithinLimit(req, servers, refusal, now); found {
				return c, true
			}
		}
	}
	if req.Engine == nil && set.near {
		return p.firstWithinLimit(req, p.unreported(req, set.held, now), refusal, now)
	}
	return candidate{}, false
}

// firstWithinLimit returns the first server that can take a request which was refused. Of
// engines, only those that report their load are considered: the others seem idle.
func (p *Picker) firstWithinLimit(req *Request, servers []*server, refusal *Refusal, now time.Time) (candidate, bool) {
	usual := p.usualResponse(req.Service)
	for _, s := range servers {
		if req.Engine != nil && !s.hasReport(now) {
			continue
		}
		c := p.newCandidate(req, s, usual, now)
		if !s.mayMissVersionDeadline(req, c.estimate, now) && p.isImprovement(req, &c, refusal, now) {
			return c, true
		}
	}
	return candidate{}, false
}

// isImprovement reports whether a server can take a request that was refused for the
// prediction on another one. It must be less than half full: the entries of other regions may
// choose it at the same time, and what is known of it is older than a queue takes to grow. With a
// single free place, callers of all regions were answered late. Such a server may be beyond the
// limit, but only if it is better than the other one: it may be very slow.
func (p *Picker) isImprovement(req *Request, c *candidate, refusal *Refusal, now time.Time) bool {
	if !c.isHalfEmpty(now) || p.checkLatency(req, c.server, c.estimate, now) != nil {
		return false
	}
	if refusal.Predicted == 0 {
		return true
	}
	predicted := c.usualFirstResponse(req, c.estimate, c.slowdown(now)) + c.estimate.overdue
	return predicted <= p.latencyLimit(req) || predicted < refusal.Predicted
}

// unreported returns the available servers of other regions without a current report, in
// random order.
func (p *Picker) unreported(req *Request, held []string, now time.Time) []*server {
	var servers []*server
	for _, s := range p.index(req.Service).all {
		if p.isLocal(s) || s.hasReport(now) || req.excludes(s.listing.Key()) {
			continue
		}
		if excluded, _ := p.exclusion(s.listing, req, now); !excluded && p.usability(s, req, held, now) == usable {
			servers = append(servers, s)
		}
	}
	p.shuffle(servers)
	return servers
}

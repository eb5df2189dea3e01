package placement

import (
	"slices"
	"time"
)

// restoreRamp is the time after an evacuation over which the share of the requests that
// may go to the failure domain rises from 0 to 1. Its servers may have become cold, and
// nothing runs on them, so that they would otherwise get nearly all requests at once. It
// is about the time that a cold engine takes to become warm.
const restoreRamp = 3 * time.Second

// evacuation is the state of a failure domain that is evacuated, or was evacuated less
// than restoreRamp ago.
type evacuation struct {
	// restoredAt is when the domain was taken back; zero if it is evacuated.
	restoredAt time.Time
}

// SetEvacuated sets the failure domains whose servers get no requests. It returns those
// that are new, and those that were taken back.
func (p *Picker) SetEvacuated(domains []string, now time.Time) (evacuated, restored []string) {
	for _, domain := range domains {
		if !p.Evacuated(domain) {
			p.evacuations[domain] = evacuation{}
			evacuated = append(evacuated, domain)
		}
	}
	for domain, e := range p.evacuations {
		switch {
		case slices.Contains(domains, domain):
		case e.restoredAt.IsZero():
			p.evacuations[domain] = evacuation{restoredAt: now}
			restored = append(restored, domain)
		case now.Sub(e.restoredAt) >= restoreRamp:
			delete(p.evacuations, domain)
		}
	}
	slices.Sort(restored)
	return evacuated, restored
}

// Evacuated reports whether the servers of a failure domain get no requests.
func (p *Picker) Evacuated(domain string) bool {
	e, known := p.evacuations[domain]
	return known && e.restoredAt.IsZero()
}

// EvacuatedDomains returns the evacuated failure domains, sorted.
func (p *Picker) EvacuatedDomains() []string {
	var evacuated []string
	for domain := range p.evacuations {
		if p.Evacuated(domain) {
			evacuated = append(evacuated, domain)
		}
	}
	slices.Sort(evacuated)
	return evacuated
}

// heldBack returns the failure domains that were taken back a moment ago and that one
// request should not use, drawn at random: the share of requests that may use a domain
// rises over restoreRamp. The draw is one for the whole domain, and needs no knowledge
// of the requests of other entries.
func (p *Picker) heldBack(now time.Time) []string {
	var held []string
	for domain, e := range p.evacuations {
		if e.restoredAt.IsZero() {
			continue
		}
		if share := float64(now.Sub(e.restoredAt)) / float64(restoreRamp); p.rng.Float64() >= share {
			held = append(held, domain)
		}
	}
	return held
}

// isLocalBarred reports whether no server of the region of this entry may get the
// request, whatever its load: because of the request's homes, or because all failure
// domains of the region are evacuated or held back.
func (p *Picker) isLocalBarred(req *Request, held []string) bool {
	own := p.config.Regions[p.config.Domain]
	if !req.Homes.Allow(own) {
		return true
	}
	if len(p.evacuations)+len(req.Evacuated) == 0 {
		return false
	}
	for domain, region := range p.config.Regions {
		if region == own && !p.Evacuated(domain) && !slices.Contains(req.Evacuated, domain) && !slices.Contains(held, domain) {
			return false
		}
	}
	return true
}

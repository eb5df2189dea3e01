package distribute

import (
	"github.com/auburnbend/auburnbend/lib/model"
)

// Policy is the part of a plan that trackers apply: it determines which failure
// domains fetch which chunks from the origin.
type Policy struct {
	// Domains lists the failure domains that receive the weights.
	Domains []model.Location
	// Copies is the number of failure domains that may fetch one chunk from the
	// origin. The others receive it over inter-region links.
	Copies int
}

// Rank returns the position of a failure domain among those that may fetch a
// chunk from the origin, starting at 0. All trackers compute the same ranks, so
// failure domains divide the chunks without coordination. The first domain of
// each region ranks ahead of all second domains, so that each region gets a
// copy first. A domain outside the policy has rank 0.
func (p Policy) Rank(chunk model.Digest, domain model.FailureDomain) int {
	names := make([]string, 0, len(p.Domains))
	regions := make(map[string]model.Region, len(p.Domains))
	for _, l := range p.Domains {
		names = append(names, string(l.FailureDomain))
		regions[string(l.FailureDomain)] = l.Region
	}
	order := RendezvousOrder(chunk, names)
	seen := make(map[model.Region]bool, len(p.Domains))
	first, rest := make([]string, 0, len(order)), make([]string, 0, len(order))
	for _, name := range order {
		if seen[regions[name]] {
			rest = append(rest, name)
			continue
		}
		seen[regions[name]] = true
		first = append(first, name)
	}
	for i, name := range append(first, rest...) {
		if name == string(domain) {
			return i
		}
	}
	return 0 // a domain outside the policy fetches whatever it needs
}

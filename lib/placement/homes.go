package placement

import "github.com/auburnbend/auburnbend/lib/directory"

// IsHome reports whether a server is in a region that may serve the request. The region
// of a server in an unknown failure domain is not known, so that it serves only requests
// without a restriction.
func (p *Picker) IsHome(listing *directory.Server, req *Request) bool {
	if !req.Homes.Restricted {
		return true
	}
	region, known := p.config.Regions[listing.Domain]
	return known && req.Homes.Allow(region)
}

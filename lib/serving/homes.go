package serving

import "slices"

// Homes are the regions whose backend servers may serve a request. The zero value allows
// all regions.
type Homes struct {
	// Restricted is set if only Regions may serve the request. Without any, none may.
	Restricted bool
	Regions    []string
}

// CommonHomes returns the regions that all given lists allow. An empty list allows all
// regions.
func CommonHomes(lists ...[]string) Homes {
	var common Homes
	for _, allowed := range lists {
		switch {
		case len(allowed) == 0:
		case !common.Restricted:
			common = Homes{Restricted: true, Regions: allowed}
		default:
			var both []string
			for _, region := range common.Regions {
				if slices.Contains(allowed, region) {
					both = append(both, region)
				}
			}
			common.Regions = both
		}
	}
	return common
}

// Allow reports whether servers of a region may serve the request.
func (h Homes) Allow(region string) bool {
	return !h.Restricted || slices.Contains(h.Regions, region)
}

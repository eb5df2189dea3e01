package serving

// Target is a service that takes a share of a route's requests.
type Target struct {
	Service string
	// Weight is the share of the requests relative to the other targets.
	Weight int
}

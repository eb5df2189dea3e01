package serving

import "time"

// Route maps requests with a host and path prefix to services.
type Route struct {
	Name string
	// Host is matched exactly; the longest matching path Prefix wins.
	Host, Prefix string
	Kind         RequestKind
	// Timeout limits the time until the final response; zero means no limit.
	Timeout time.Duration
	// TargetLatency is the target for the time to the response, or to the first event
	// of a stream.
	TargetLatency time.Duration
	// MaxEventGap is the target for the longest pause between events of a stream.
	MaxEventGap time.Duration
	// Priority is the rank of requests of teams that declare none, from 0 to MaxRank; 0 is the
	// highest.
	Priority int
	Targets  []Target
	// MaxBackendServers limits the backend servers that one request is sent to.
	MaxBackendServers int
	// Public routes require no API key.
	Public bool
	// Resumable streams may continue on another backend server after the last event
	// that was delivered.
	Resumable bool
	// AllowedRegions are the regions whose backend servers may serve the route; empty for
	// all.
	AllowedRegions []string
}

// Repeatable reports whether a request of this route may run more than once.
func (r *Route) Repeatable() bool {
	return r.Kind == Idempotent || r.Kind == Streaming && r.Resumable
}

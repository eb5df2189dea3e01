package serving

import "time"

// Route sends the requests of one host and path prefix to services.
type Route struct {
	Name string
	// Host is matched exactly, Prefix by the longest match.
	Host, Prefix string
	Kind         RequestKind
	// Timeout is the longest time that a caller is kept waiting for its final
	// answer; zero sets no limit.
	Timeout time.Duration
	// TargetLatency is the time to the answer, or to the first event, within
	// which callers are served well.
	TargetLatency time.Duration
	// MaxEventGap is the longest pause between events of a good stream.
	MaxEventGap time.Duration
	// Priority ranks routes; 0 is the highest.
	Priority int
	Targets  []Target
	// MaxBackendServers bounds the backend servers that one request is sent to.
	MaxBackendServers int
	// Public routes need no key.
	Public bool
	// Resumable streams may continue on another backend server after the last
	// event that was delivered.
	Resumable bool
}

// Repeatable reports whether a request of this route may run more than once.
func (r *Route) Repeatable() bool {
	return r.Kind == Idempotent || r.Kind == Streaming && r.Resumable
}

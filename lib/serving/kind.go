package serving

// RequestKind determines whether a request may be retried and how its response is
// delivered.
type RequestKind uint8

// Kinds of requests.
const (
	// NonIdempotent requests run at most once.
	NonIdempotent RequestKind = iota
	// Idempotent requests may run more than once.
	Idempotent
	// Streaming requests get a response of server-sent events. They run at most once
	// unless their route is resumable.
	Streaming
)

// String returns the name used in logs and metrics.
func (k RequestKind) String() string {
	switch k {
	case Idempotent:
		return "idempotent"
	case Streaming:
		return "streaming"
	default:
		return "non_idempotent"
	}
}

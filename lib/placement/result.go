package placement

// Result is how one attempt ended. Its values are encoded as numbers in placement
// notices.
type Result uint8

// Results of an attempt.
const (
	// Answered means a complete response, whatever its status.
	Answered Result = iota
	// Cancelled means that the caller disconnected or the deadline passed.
	Cancelled
	// Rejected means that the server did not run the request.
	Rejected
	// Mismatched means that another server uses the address, or that the server has
	// other weights than expected.
	Mismatched
	// Unreachable means that no connection could be opened.
	Unreachable
	// Failed means a truncated, invalid or missing response, or a server error.
	Failed
)

// String returns the result as logs name it.
func (r Result) String() string {
	switch r {
	case Answered:
		return "answered"
	case Cancelled:
		return "silent until its caller left"
	case Rejected:
		return "rejected"
	case Mismatched:
		return "another server or other weights at the address"
	case Unreachable:
		return "unreachable"
	case Failed:
		return "failed"
	default:
		return "unknown"
	}
}

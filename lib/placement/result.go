package placement

// Result is how one dispatch ended.
type Result uint8

// Results.
const (
	// Answered means a complete answer, whatever its status.
	Answered Result = iota
	// Cancelled means that the caller left or its time was over.
	Cancelled
	// Rejected means that the server did not run the request.
	Rejected
	// Mismatched means that another server answers at the address, or that the
	// server holds other weights than it was believed to.
	Mismatched
	// Unreachable means that no connection could be opened.
	Unreachable
	// Failed means a broken, spoilt or missing answer, or a fault of the server.
	Failed
)

// String returns the result as it stands in log lines.
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

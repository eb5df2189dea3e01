// Package outcome defines what a caller is told about a request.
package outcome

// Outcome is the final state of a request or of one attempt.
type Outcome uint8

const (
	// Unknown means that the request may have run. It is the zero value, so
	// that an outcome that was never set claims nothing.
	Unknown Outcome = iota
	// Completed means that the whole answer was received and checked.
	Completed
	// NotRun means that it is proved that no backend server ran the request:
	// it was never handed to one, or the agent refused it before handing it on.
	NotRun
	// Failed means that the request ran and the backend server answered with
	// an error.
	Failed
)

// String returns the name that is used in headers, logs and metrics.
func (o Outcome) String() string {
	switch o {
	case Completed:
		return "completed"
	case NotRun:
		return "not_run"
	case Failed:
		return "failed"
	default:
		return "unknown"
	}
}

// Package outcome defines the results of requests that are reported to callers.
package outcome

// Outcome is the final state of a request or of one attempt.
type Outcome uint8

const (
	// Unknown means that the request may have run. It is the zero value, so that an
	// unset outcome makes no claim.
	Unknown Outcome = iota
	// Completed means that the complete response was received and verified.
	Completed
	// NotRun means that provably no backend server ran the request: it was never sent
	// to one, or the agent rejected it before passing it on.
	NotRun
	// Failed means that the request ran and the backend server returned an error.
	Failed
)

// String returns the name used in headers, logs and metrics.
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

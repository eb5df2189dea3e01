package outcome

// Reason is the reason why a request was rejected or did not complete. It is sent to
// callers and used as a metric label, so only the constants below are valid.
type Reason string

// Reasons for an outcome other than Completed.
const (
	ReasonNone             Reason = ""
	ReasonDraining         Reason = "draining"
	ReasonWeightsMismatch  Reason = "weights_mismatch"
	ReasonDeadline         Reason = "deadline_exceeded"
	ReasonOverloaded       Reason = "overloaded"
	ReasonQueueFull        Reason = "queue_full"
	ReasonNoBackendServer  Reason = "no_backend_server"
	ReasonDuplicate        Reason = "duplicate_attempt"
	ReasonAlreadyClaimed   Reason = "already_claimed"
	ReasonStoreUnavailable Reason = "store_unavailable"
	ReasonQuarantined      Reason = "quarantined"
	ReasonConnectionLost   Reason = "connection_lost"
	ReasonBackendCrashed   Reason = "backend_server_crashed"
	ReasonBackendError     Reason = "backend_server_error"
	ReasonIncomplete       Reason = "incomplete_answer"
	ReasonCanceled         Reason = "canceled_by_caller"
	ReasonRetryBudget      Reason = "retry_budget_exhausted"
	ReasonHopLimit         Reason = "hop_limit"
	ReasonInvalid          Reason = "invalid_request"
	ReasonUnknownService   Reason = "unknown_service"
	ReasonUnknownTenant    Reason = "unknown_tenant"
	ReasonTooLarge         Reason = "body_too_large"
	ReasonInternalFault    Reason = "internal_fault"
	// ReasonMemoryExhausted means that there was no memory for a long body.
	ReasonMemoryExhausted Reason = "memory_exhausted"
	// ReasonBodyNotReceived means that the body did not arrive, or too slowly.
	ReasonBodyNotReceived Reason = "body_not_received"
)

// Reasons returns all reasons other than ReasonNone.
func Reasons() []Reason {
	return []Reason{
		ReasonDraining, ReasonWeightsMismatch, ReasonDeadline, ReasonOverloaded, ReasonQueueFull,
		ReasonNoBackendServer, ReasonDuplicate, ReasonAlreadyClaimed, ReasonStoreUnavailable,
		ReasonQuarantined, ReasonConnectionLost, ReasonBackendCrashed, ReasonBackendError,
		ReasonIncomplete, ReasonCanceled, ReasonRetryBudget, ReasonHopLimit, ReasonInvalid,
		ReasonUnknownService, ReasonUnknownTenant, ReasonTooLarge, ReasonMemoryExhausted, ReasonBodyNotReceived,
	}
}

package caller

// HTTP headers of the protocol with callers.
const (
	HeaderRequestID      = "X-Request-Id"
	HeaderTenant         = "X-Tenant"
	HeaderClass          = "X-Class"
	HeaderDeadlineMillis = "X-Deadline-Ms"
	HeaderIdempotencyKey = "Idempotency-Key"
	HeaderClaimProof     = "X-Claim-Proof"
	HeaderOutcome        = "X-Outcome"
	HeaderReason         = "X-Reason"
	HeaderDigest         = "X-Answer-Digest"
	headerRetryAfter     = "Retry-After"
)

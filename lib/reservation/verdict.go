package reservation

// Verdict is the result of redeeming a token.
type Verdict uint8

const (
	// VerdictInvalid means that the sequence number is 0. It is the zero value.
	VerdictInvalid Verdict = iota
	// VerdictAccepted permits the run; the number is marked as used.
	VerdictAccepted
	// VerdictUsed means that the token was already redeemed and may have run.
	VerdictUsed
	// VerdictTooOld means that the number is below the window; the token may have
	// run.
	VerdictTooOld
	// VerdictWrongAgent means that the token is for another instance or
	// generation. It has not run in this process, but may have run in the other
	// one.
	VerdictWrongAgent
	// VerdictTooManyIssuers means that the token was not run because the agent
	// has no room for another issuer.
	VerdictTooManyIssuers
)

// String returns the name used in logs and metrics.
func (v Verdict) String() string {
	names := [...]string{"invalid", "accepted", "used", "too_old", "wrong_agent", "too_many_issuers"}
	if int(v) < len(names) {
		return names[v]
	}
	return "unknown"
}

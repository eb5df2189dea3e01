package reservation

// Verdict is what an agent decides about a token.
type Verdict uint8

const (
	// VerdictInvalid is a token with number zero. It is the zero value.
	VerdictInvalid Verdict = iota
	// VerdictAccepted allows the run; the number is used from now on.
	VerdictAccepted
	// VerdictUsed means that the token may have run.
	VerdictUsed
	// VerdictTooOld means that the number is below the window: it may have run.
	VerdictTooOld
	// VerdictWrongAgent means that the token is for another generation or
	// instance. This process has not run it; the named one may have.
	VerdictWrongAgent
	// VerdictTooManyIssuers means that the token was not run here: the agent has
	// no room for a window of its issuer.
	VerdictTooManyIssuers
)

// String returns the name that logs and metrics use.
func (v Verdict) String() string {
	names := [...]string{"invalid", "accepted", "used", "too_old", "wrong_agent", "too_many_issuers"}
	if int(v) < len(names) {
		return names[v]
	}
	return "unknown"
}

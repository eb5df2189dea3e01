package claim

import (
	"time"

	"github.com/auburnbend/auburnbend/lib/model"
	"github.com/auburnbend/auburnbend/lib/outcome"
)

// Status is what a Claim came to.
type Status uint8

const (
	// StatusUnknown means that a row of another attempt exists and could not be
	// read. The request must not be dispatched. It is the zero value.
	StatusUnknown Status = iota
	// StatusHeld means that the caller of Claim, and nobody else, may dispatch.
	StatusHeld
	// StatusEarlierResult carries the result of the run under this key.
	StatusEarlierResult
	// StatusNoResult means that another attempt holds the key and has no result:
	// it may be running, or may have run.
	StatusNoResult
	// StatusNotRun means that the store is down and certainly holds no claim of
	// this attempt.
	StatusNotRun
	// StatusAbandoned means that the store is down and may hold a claim of this
	// attempt, which will never be dispatched.
	StatusAbandoned
	// StatusKeyReused means that the key belongs to a request with other content.
	StatusKeyReused
)

// String returns the name that logs and metrics use.
func (s Status) String() string {
	names := [...]string{"unknown", "held", "earlier_result", "no_result", "not_run", "abandoned", "key_reused"}
	if int(s) < len(names) {
		return names[s]
	}
	return "invalid"
}

// Decision is what the entry does with a request after a Claim. Only StatusHeld
// allows a dispatch.
type Decision struct {
	Status Status
	// Result is set for StatusEarlierResult.
	Result *Result
	// Outcome, Reason and RetryAfter are for the caller when Status is neither
	// StatusHeld nor StatusEarlierResult.
	Outcome    outcome.Outcome
	Reason     outcome.Reason
	RetryAfter time.Duration
	// Proofs is set for StatusAbandoned: this attempt, after those that the
	// caller presented. A caller that sends them with the same key is not held up
	// by the row that one of these attempts may have left.
	Proofs []model.AttemptID
}

func (l *Ledger) answer(s Status) Decision {
	a := Decision{Status: s}
	switch s {
	case StatusUnknown:
		a.Outcome, a.Reason, a.RetryAfter = outcome.Unknown, outcome.ReasonStoreUnavailable, l.config.RetryAfter
	case StatusNoResult:
		a.Outcome, a.Reason, a.RetryAfter = outcome.Unknown, outcome.ReasonAlreadyClaimed, l.config.RetryAfter
	case StatusNotRun, StatusAbandoned:
		a.Outcome, a.Reason, a.RetryAfter = outcome.NotRun, outcome.ReasonStoreUnavailable, l.config.RetryAfter
	case StatusKeyReused:
		a.Outcome, a.Reason = outcome.NotRun, outcome.ReasonInvalid
	}
	return a
}

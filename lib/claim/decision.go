package claim

import (
	"time"

	"github.com/auburnbend/auburnbend/lib/model"
	"github.com/auburnbend/auburnbend/lib/outcome"
)

// Status is the result of Ledger.Claim or Ledger.Lookup.
type Status uint8

const (
	// StatusUnknown means that the row could not be read and another attempt may
	// hold the key. The request must not be dispatched. It is the zero value.
	StatusUnknown Status = iota
	// StatusHeld means that the caller of Claim holds the key: it alone may
	// dispatch the request.
	StatusHeld
	// StatusEarlierResult means that the request has already run; Decision.Result
	// holds its result.
	StatusEarlierResult
	// StatusNoResult means that another attempt holds the key and has stored no
	// result: it may be running, or may have run.
	StatusNoResult
	// StatusNotRun means that the store holds no claim of this attempt. Claim
	// returns it if the store is unavailable, Lookup if there is no claim.
	StatusNotRun
	// StatusAbandoned means that the store is unavailable and may hold a claim of
	// this attempt, which will never be dispatched.
	StatusAbandoned
	// StatusKeyReused means that the key belongs to a request with different
	// content.
	StatusKeyReused
)

// String returns the name used in logs and metrics.
func (s Status) String() string {
	names := [...]string{"unknown", "held", "earlier_result", "no_result", "not_run", "abandoned", "key_reused"}
	if int(s) < len(names) {
		return names[s]
	}
	return "invalid"
}

// Decision tells the entry what to do with a request after Claim. Only
// StatusHeld allows a dispatch.
type Decision struct {
	Status Status
	// Result is set for StatusEarlierResult.
	Result *Result
	// Outcome, Reason and RetryAfter form the response to the caller unless Status
	// is StatusHeld or StatusEarlierResult.
	Outcome    outcome.Outcome
	Reason     outcome.Reason
	RetryAfter time.Duration
	// Proofs is set for StatusAbandoned: the IDs presented by the caller followed
	// by the ID of this attempt. A caller that sends them with the same key is
	// not blocked by a row that one of these attempts may have left behind.
	Proofs []model.AttemptID
}

func (l *Ledger) decision(s Status) Decision {
	d := Decision{Status: s}
	switch s {
	case StatusUnknown:
		d.Outcome, d.Reason, d.RetryAfter = outcome.Unknown, outcome.ReasonStoreUnavailable, l.config.RetryAfter
	case StatusNoResult:
		d.Outcome, d.Reason, d.RetryAfter = outcome.Unknown, outcome.ReasonAlreadyClaimed, l.config.RetryAfter
	case StatusNotRun, StatusAbandoned:
		d.Outcome, d.Reason, d.RetryAfter = outcome.NotRun, outcome.ReasonStoreUnavailable, l.config.RetryAfter
	case StatusKeyReused:
		d.Outcome, d.Reason = outcome.NotRun, outcome.ReasonInvalid
	}
	return d
}

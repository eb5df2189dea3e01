package gateway

// OutcomeAnswered is the outcome of requests with a backend server's whole answer.
const OutcomeAnswered = "answered"

// outcome is how the gateway ended a request.
type outcome string

// Outcomes, as used in logs and metrics.
const (
	// outcomeAnswered is a backend server's whole answer.
	outcomeAnswered outcome = OutcomeAnswered
	// outcomeRefused is a refusal of a request that was not run.
	outcomeRefused outcome = "refused"
	// outcomeInvalid is a refusal of a request that the configuration does not
	// allow or that is malformed.
	outcomeInvalid outcome = "invalid"
	// outcomeUnknown is a failure of a request that may have run.
	outcomeUnknown outcome = "unknown"
	// outcomeBroken is a stream that was cut before its end.
	outcomeBroken outcome = "broken"
	// outcomeLeft means that the caller left.
	outcomeLeft outcome = "left"
)

package gateway

// OutcomeAnswered is the outcome of requests that got a whole response of a backend
// server.
const OutcomeAnswered = "answered"

// outcome is how a request ended.
type outcome string

// Outcomes as logs and metrics name them.
const (
	// outcomeAnswered is a whole response of a backend server.
	outcomeAnswered outcome = OutcomeAnswered
	// outcomeRefused is a refusal of a request that has not run.
	outcomeRefused outcome = "refused"
	// outcomeInvalid is a refusal of a request that is malformed or not allowed by the
	// configuration.
	outcomeInvalid outcome = "invalid"
	// outcomeUnknown is a failure of a request that may have run.
	outcomeUnknown outcome = "unknown"
	// outcomeBroken is a stream that was cut before its end.
	outcomeBroken outcome = "broken"
	// outcomeCallerGone means that the caller disconnected.
	outcomeCallerGone outcome = "left"
)

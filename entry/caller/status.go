package caller

import (
	"net/http"

	"github.com/auburnbend/auburnbend/lib/outcome"
)

// HTTPStatus returns the status code of the response for a result. The outcome
// header is authoritative; the status code is for clients that evaluate nothing
// else.
func HTTPStatus(r Result) int {
	switch r.Outcome {
	case outcome.Completed:
		if r.Status == 0 {
			return http.StatusOK
		}
		return r.Status
	case outcome.NotRun:
		return notRunStatus(r.Reason)
	case outcome.Failed:
		if r.Status >= http.StatusBadRequest {
			return r.Status
		}
		return http.StatusBadGateway
	default:
		if r.Reason == outcome.ReasonAlreadyClaimed {
			return http.StatusConflict
		}
		return http.StatusGatewayTimeout
	}
}

func notRunStatus(reason outcome.Reason) int {
	switch reason {
	case outcome.ReasonInvalid:
		return http.StatusBadRequest
	case outcome.ReasonUnknownTenant:
		return http.StatusForbidden
	case outcome.ReasonUnknownService:
		return http.StatusNotFound
	case outcome.ReasonTooLarge:
		return http.StatusRequestEntityTooLarge
	case outcome.ReasonBodyNotReceived:
		return http.StatusRequestTimeout
	case outcome.ReasonOverloaded, outcome.ReasonQueueFull, outcome.ReasonRetryBudget:
		return http.StatusTooManyRequests
	case outcome.ReasonQuarantined:
		return http.StatusUnprocessableEntity
	default:
		return http.StatusServiceUnavailable
	}
}

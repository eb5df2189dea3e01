// Package reply writes the HTTP responses of the stand-ins of the platform's services.
package reply

import (
	"encoding/json"
	"errors"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/auburnbend/auburnbend/lib/backing"
)

// NotAppliedHeader is the header of an error response whose write had no effect.
const NotAppliedHeader = "X-Not-Applied"

// Conflict is the body of the 409 response to a commit.
type Conflict struct {
	// Index is the position of the write whose condition did not hold.
	Index int `json:"index"`
}

// JSON writes v as JSON with status 200.
func JSON(w http.ResponseWriter, v any) { JSONStatus(w, http.StatusOK, v) }

// JSONStatus writes v as JSON with the given status.
func JSONStatus(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

// Error writes the response to a call that failed with err. For backing.ErrUnknown it
// panics with http.ErrAbortHandler, which closes the connection without a response.
func Error(w http.ResponseWriter, err error) {
	var throttled *backing.ThrottledError
	switch {
	case errors.As(err, &throttled):
		seconds := int64(math.Ceil(float64(throttled.RetryAfter) / float64(time.Second)))
		w.Header().Set("Retry-After", strconv.FormatInt(seconds, 10))
		w.WriteHeader(http.StatusTooManyRequests)
	case errors.Is(err, backing.ErrUnknown):
		panic(http.ErrAbortHandler)
	case errors.Is(err, backing.ErrNotFound):
		w.WriteHeader(http.StatusNotFound)
	case errors.Is(err, backing.ErrExists):
		w.WriteHeader(http.StatusConflict)
	case errors.Is(err, backing.ErrNotApplied):
		w.Header().Set(NotAppliedHeader, "true")
		w.WriteHeader(http.StatusServiceUnavailable)
	default:
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

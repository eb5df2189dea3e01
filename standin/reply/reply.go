// Package reply writes the HTTP answers that the stand-ins of the platform
// share.
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

// NotAppliedHeader marks an answer that proves that a write had no effect.
const NotAppliedHeader = "X-Not-Applied"

// Conflict is the body of a 409 answer to a commit.
type Conflict struct {
	Index int `json:"index"`
}

// JSON writes a value with status 200.
func JSON(w http.ResponseWriter, v any) { JSONStatus(w, http.StatusOK, v) }

// JSONStatus writes a value with a status.
func JSONStatus(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

// Error answers a failed call. An unknown outcome closes the connection without
// an answer, as a lost reply does.
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

package pace

import "time"

// Verdict is what the response to one request tells about its server.
type Verdict int

const (
	// Unclear responses tell nothing.
	Unclear Verdict = iota
	// InTime responses have begun within the expected time.
	InTime
	// Late responses have begun after it, or the request has failed.
	Late
)

const (
	// tolerance is the ratio to the prediction, corrected by its usual error, up to
	// which a response is in time. In calm seconds, the mean prediction is within 15 % of
	// the mean; single responses vary more. A server that is slower than this takes twice
	// its share of the requests' time.
	tolerance = 2
	// margin covers what does not depend on the prediction: the way of notices, and
	// processes that wait for their CPU.
	margin = 30 * time.Millisecond
)

// Judge compares the time that a response took to begin with the prediction.
func Judge(took, predicted time.Duration, usual *Usual) Verdict {
	switch {
	case predicted <= 0:
		return Unclear
	case took <= margin+time.Duration(tolerance*usual.Ratio()*float64(predicted)):
		return InTime
	default:
		return Late
	}
}

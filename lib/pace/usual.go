package pace

import "time"

const (
	// maxRatio bounds the ratio of one response, so that a single stall does not count
	// for long.
	maxRatio = 8
	// ratioWeight is the weight of one response in the mean ratio.
	ratioWeight = 1.0 / 16
)

// Usual is the mean ratio of the time that responses of the other servers of a service
// take to the predicted time. If it is above one, the prediction is too low for all, or
// all are slow: then a server is not limited for it. The zero value is a ratio of one.
type Usual struct{ ratio float64 }

// Observe records the response of a server that is not limited.
func (u *Usual) Observe(took, predicted time.Duration) {
	if predicted > 0 {
		sample := min(float64(took)/float64(predicted), maxRatio)
		u.ratio = float64(u.Ratio() + float64((sample-u.Ratio())*ratioWeight))
	}
}

// Ratio returns the mean ratio, at least one.
func (u *Usual) Ratio() float64 { return max(u.ratio, 1) }

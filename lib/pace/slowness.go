package pace

import "time"

// Slowness is the ratio of the time that the responses of one limited server took lately to
// the predicted time. The zero value is unknown.
type Slowness struct{ ratio float64 }

// Observe records a response. The newest one has half of the weight, as the server becomes
// faster or slower within a few responses.
func (s *Slowness) Observe(took, predicted time.Duration) {
	if predicted <= 0 {
		return
	}
	sample := min(float64(took)/float64(predicted), maxRatio)
	if s.ratio == 0 {
		s.ratio = sample
		return
	}
	s.ratio = (s.ratio + sample) / 2
}

// Ratio returns the ratio, at least one, and false if it is unknown.
func (s *Slowness) Ratio() (float64, bool) { return max(s.ratio, 1), s.ratio > 0 }

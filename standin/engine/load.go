package engine

import (
	"time"

	api "github.com/auburnbend/auburnbend/lib/engine"
)

const (
	// sampleInterval is the minimum interval between load samples.
	sampleInterval = 10 * time.Millisecond
	maxSamples     = 1024
	// smoothingFactor is the weight of a new value in the moving average.
	smoothingFactor = 0.2
)

// sample is the load at one point in time.
type sample struct {
	at     time.Time
	report api.LoadReport
}

// updateFirstToken updates the average time to the first token if the stream has produced
// exactly one token.
func (s *Server) updateFirstToken(st *stream, now time.Time) {
	if len(st.frames) == 1 {
		s.firstTokenMillis += smoothingFactor * (float64(now.Sub(st.arrivedAt).Microseconds())/1000 - s.firstTokenMillis)
	}
}

// recordSample stores the current load for delayed reports.
func (s *Server) recordSample(now time.Time) {
	if n := len(s.samples); n > 0 && now.Sub(s.samples[n-1].at) < sampleInterval {
		return
	}
	s.samples = append(s.samples, sample{at: now, report: api.LoadReport{
		Running: len(s.running), Queued: len(s.waiting), Capacity: s.cfg.Capacity,
		FirstTokenMillis:    s.firstTokenMillis,
		BetweenTokensMillis: float64(s.stepTime().Microseconds()) / 1000,
	}})
	if len(s.samples) > maxSamples {
		s.samples = append([]sample(nil), s.samples[maxSamples/2:]...)
	}
}

// delayedReport returns the newest sample that is at least LoadLag old.
func (s *Server) delayedReport(now time.Time) api.LoadReport {
	lag := s.cfg.scaled(s.cfg.LoadLag)
	for i := len(s.samples) - 1; i >= 0; i-- {
		if age := now.Sub(s.samples[i].at); age >= lag {
			r := s.samples[i].report
			r.AgeMillis = age.Milliseconds()
			return r
		}
	}
	return api.LoadReport{Capacity: s.cfg.Capacity}
}

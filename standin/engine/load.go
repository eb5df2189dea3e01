package engine

import (
	"time"

	api "github.com/auburnbend/auburnbend/lib/engine"
)

const (
	// sampleInterval is the least time between two load samples.
	sampleInterval = 10 * time.Millisecond
	// maxSamples bounds the samples that are kept.
	maxSamples = 1024
	// meanWeight is the share of a new value in the recent means.
	meanWeight = 0.2
)

// sample is the load at a time.
type sample struct {
	at     time.Time
	report api.LoadReport
}

// measure updates the recent means with the last token of a stream.
func (s *Server) measure(st *stream, now time.Time) {
	if len(st.frames) == 1 {
		s.firstToken += meanWeight * (float64(now.Sub(st.arrived).Microseconds())/1000 - s.firstToken)
	}
}

// sample keeps the load of this moment for reports that lag.
func (s *Server) sample(now time.Time) {
	if n := len(s.samples); n > 0 && now.Sub(s.samples[n-1].at) < sampleInterval {
		return
	}
	s.samples = append(s.samples, sample{at: now, report: api.LoadReport{
		Running: len(s.running), Queued: len(s.waiting), Capacity: s.cfg.Capacity,
		FirstTokenMillis:    s.firstToken,
		BetweenTokensMillis: float64(s.stepTime().Microseconds()) / 1000,
	}})
	if len(s.samples) > maxSamples {
		s.samples = append([]sample(nil), s.samples[maxSamples/2:]...)
	}
}

// report returns the newest sample that is at least the lag old.
func (s *Server) report(now time.Time) api.LoadReport {
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

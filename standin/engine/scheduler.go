package engine

import (
	"slices"
	"strings"
	"time"

	api "github.com/auburnbend/auburnbend/lib/engine"
)

// minStepTime prevents the loop from spinning if the time scale is small.
const minStepTime = 200 * time.Microsecond

// schedule runs batch steps until the server is closed.
func (s *Server) schedule() {
	defer s.tasks.Done()
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-s.closed:
			return
		case <-timer.C:
		}
		timer.Reset(s.step(time.Now()))
	}
}

// step admits waiting requests, produces a token for each running request and returns
// the time until the next step.
func (s *Server) step(now time.Time) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stalled || s.down {
		return minStepTime * 10
	}
	s.admit(now)
	if s.down {
		return minStepTime
	}
	for _, st := range s.running {
		if !now.Before(st.prefillEnd) {
			st.appendToken(s.loadedDigest(), s.weights, now)
			s.updateFirstToken(st, now)
		}
	}
	s.running = slices.DeleteFunc(s.running, (*stream).finished)
	s.removeExpired(now)
	s.recordSample(now)
	return s.stepTime()
}

func (s *Server) stepTime() time.Duration {
	extra := max(len(s.running)-1, 0)
	return max(s.cfg.scaled(s.cfg.TokenTime+time.Duration(extra)*s.cfg.TimePerExtraRequest), minStepTime)
}

// admit moves waiting requests to the batch, highest priority first.
func (s *Server) admit(now time.Time) {
	s.waiting = slices.DeleteFunc(s.waiting, func(st *stream) bool {
		if !st.deadline.IsZero() && now.After(st.deadline) {
			st.abortWith(api.RefusalDeadline, now)
		}
		return st.finished()
	})
	slices.SortFunc(s.waiting, func(a, b *stream) int {
		if a.req.Priority != b.req.Priority {
			return b.req.Priority - a.req.Priority
		}
		return int(a.arrivalNumber) - int(b.arrivalNumber)
	})
	for len(s.waiting) > 0 && len(s.running) < s.cfg.Capacity {
		st := s.waiting[0]
		s.waiting = s.waiting[1:]
		s.startRequest(st, now)
		if s.down {
			return
		}
	}
}

func (s *Server) startRequest(st *stream, now time.Time) {
	s.runs[st.req.ID]++
	s.contentRuns[s.loadedDigest()]++
	st.running = true
	st.prefillEnd = now
	if !s.cache.lookup(st.req.Prefix) {
		st.prefillEnd = now.Add(s.cfg.scaled(s.cfg.PrefillTime))
		s.cache.insert(st.req.Prefix, s.weights, now)
	}
	s.running = append(s.running, st)
	if strings.Contains(string(st.req.Body), s.cfg.CrashMarker) {
		s.crashLocked()
	}
}

// removeExpired removes streams that ended longer ago than the retention time.
func (s *Server) removeExpired(now time.Time) {
	for id, st := range s.streams {
		if st.finished() && now.Sub(st.endedAt) > s.cfg.scaled(s.cfg.Retention) {
			delete(s.streams, id)
		}
	}
}

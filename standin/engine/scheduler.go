package engine

import (
	"slices"
	"strings"
	"time"

	api "github.com/auburnbend/auburnbend/lib/engine"
)

// minStep bounds the rate of steps when a small scale would make the loop spin.
const minStep = 200 * time.Microsecond

// schedule runs one step of the batch after another until the server closes.
func (s *Server) schedule() {
	defer s.wait.Done()
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

// step admits waiting requests, gives each running one a token and returns the
// time until the next step.
func (s *Server) step(now time.Time) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stalled || s.down {
		return minStep * 10
	}
	s.admit(now)
	if s.down {
		return minStep
	}
	for _, st := range s.running {
		if !now.Before(st.prefill) {
			st.produce(s.content(), s.weights, now)
			s.measure(st, now)
		}
	}
	s.running = slices.DeleteFunc(s.running, (*stream).over)
	s.expire(now)
	s.sample(now)
	return s.stepTime()
}

func (s *Server) stepTime() time.Duration {
	extra := max(len(s.running)-1, 0)
	return max(s.cfg.scaled(s.cfg.TokenTime+time.Duration(extra)*s.cfg.TimePerExtraRequest), minStep)
}

// admit moves waiting requests into the batch, highest priority first.
func (s *Server) admit(now time.Time) {
	s.waiting = slices.DeleteFunc(s.waiting, func(st *stream) bool {
		if !st.deadline.IsZero() && now.After(st.deadline) {
			st.stop(api.RefusalDeadline, now)
		}
		return st.over()
	})
	slices.SortFunc(s.waiting, func(a, b *stream) int {
		if a.req.Priority != b.req.Priority {
			return b.req.Priority - a.req.Priority
		}
		return int(a.order) - int(b.order)
	})
	for len(s.waiting) > 0 && len(s.running) < s.cfg.Capacity {
		st := s.waiting[0]
		s.waiting = s.waiting[1:]
		s.begin(st, now)
		if s.down {
			return
		}
	}
}

func (s *Server) begin(st *stream, now time.Time) {
	s.runs[st.req.ID]++
	st.running = true
	st.prefill = now
	if !s.cache.use(st.req.Prefix) {
		st.prefill = now.Add(s.cfg.scaled(s.cfg.PrefillTime))
		s.cache.store(st.req.Prefix, s.weights, now)
	}
	s.running = append(s.running, st)
	if strings.Contains(string(st.req.Body), s.cfg.CrashMarker) {
		s.crash()
	}
}

// expire forgets streams that ended long ago.
func (s *Server) expire(now time.Time) {
	for id, st := range s.streams {
		if st.over() && now.Sub(st.ended) > s.cfg.scaled(s.cfg.Retention) {
			delete(s.streams, id)
		}
	}
}

package fleet

import "time"

// Behaviour of the baseline: an attempt without a first token within the
// timeout is sent again, three times at most, while the old one goes on.
const (
	baselineFirstTokenTimeout = 5 * time.Second
	baselineRetries           = 3
)

// roundRobin sends requests to the engines in turn, without a queue or a limit
// of its own.
type roundRobin struct {
	sim        *simulation
	nextEngine int
}

func newRoundRobin(s *simulation, number int) *roundRobin {
	return &roundRobin{sim: s, nextEngine: number * len(s.engines) / s.cfg.Entries}
}

func (r *roundRobin) start() {}

func (r *roundRobin) arrive(j *job) { r.attempt(j, 0) }

func (r *roundRobin) attempt(j *job, retries int) {
	eng := r.sim.engines[r.nextEngine%len(r.sim.engines)]
	r.nextEngine++
	q := &sequence{job: j, onProgress: func(int, time.Duration) {}}
	begun := false
	q.onFirstToken = func() { begun = true }
	q.onDone = func() { r.sim.recordResponse(j, q.firstTokenAt.Add(oneWayDelay), q.lastTokenAt.Add(oneWayDelay)) }
	r.sim.clock.after(oneWayDelay, func() { eng.submit(q) })
	if retries == baselineRetries {
		return
	}
	r.sim.clock.after(baselineFirstTokenTimeout, func() {
		if !begun && !j.recorded {
			r.attempt(j, retries+1)
		}
	})
}

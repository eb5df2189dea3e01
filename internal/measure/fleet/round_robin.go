package fleet

import "time"

// The baseline sends a request again, up to baselineRetries times, when an
// attempt yields no first token within the timeout. Earlier attempts go on.
const (
	baselineFirstTokenTimeout = 5 * time.Second
	baselineRetries           = 3
)

// roundRobin is the baseline entry: it sends requests to the engines in turn,
// without a queue or a concurrency limit.
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
	firstToken := false
	q.onFirstToken = func() { firstToken = true }
	q.onDone = func() { r.sim.recordResponse(j, q.firstTokenAt.Add(oneWayDelay), q.lastTokenAt.Add(oneWayDelay)) }
	r.sim.scheduler.after(oneWayDelay, func() { eng.submit(q) })
	if retries == baselineRetries {
		return
	}
	r.sim.scheduler.after(baselineFirstTokenTimeout, func() {
		if !firstToken && !j.recorded {
			r.attempt(j, retries+1)
		}
	})
}

package fleet

import "time"

// Behaviour of the baseline: an attempt without a first token within the
// timeout is sent again, three times at most, while the old one goes on.
const (
	baselineTimeout = 5 * time.Second
	baselineRetries = 3
)

// roundRobin sends requests to the engines in turn, without a queue or a limit
// of its own.
type roundRobin struct {
	sim  *simulation
	turn int
}

func newRoundRobin(s *simulation, number int) *roundRobin {
	return &roundRobin{sim: s, turn: number * len(s.engines) / s.cfg.Entries}
}

func (r *roundRobin) start() {}

func (r *roundRobin) arrive(j *job) { r.attempt(j, 0) }

func (r *roundRobin) attempt(j *job, retries int) {
	eng := r.sim.engines[r.turn%len(r.sim.engines)]
	r.turn++
	q := &sequence{job: j, onProgress: func(int, time.Duration) {}}
	begun := false
	q.onFirst = func() { begun = true }
	q.onDone = func() { r.sim.answered(j, q.firstAt.Add(oneWay), q.lastAt.Add(oneWay)) }
	r.sim.time.after(oneWay, func() { eng.submit(q) })
	if retries == baselineRetries {
		return
	}
	r.sim.time.after(baselineTimeout, func() {
		if !begun && !j.answered {
			r.attempt(j, retries+1)
		}
	})
}

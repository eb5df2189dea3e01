package fleet

import "time"

// sequence is one request on an engine.
type sequence struct {
	job        *job
	missing    int // prompt tokens that are not prefilled yet
	produced   int // answer tokens
	startedAt  time.Time
	firstAt    time.Time
	lastAt     time.Time
	onFirst    func()
	onProgress func(tokens int, took time.Duration)
	onDone     func()
	reportedAt time.Time
	reported   int
}

// progressTokens is the number of tokens between two progress reports, which an
// entry sees as frames.
const progressTokens = 8

// engine batches continuously: each step gives one token to each decoding
// sequence and prefills one chunk of waiting prompts.
type engine struct {
	cfg     EngineConfig
	time    *schedule
	cache   *blockCache
	waiting []*sequence
	running []*sequence
	active  bool

	prefilled, cached int // prompt tokens of all sequences
	// occupied sums the time that all sequences spent on the engine.
	occupied time.Duration
}

func newEngine(cfg EngineConfig, s *schedule) *engine {
	return &engine{cfg: cfg, time: s, cache: newBlockCache(cfg.CacheBlocks)}
}

func (e *engine) submit(q *sequence) {
	q.startedAt = e.time.now
	e.waiting = append(e.waiting, q)
	if !e.active {
		e.active = true
		e.step()
	}
}

// admit moves sequences into the batch and looks up their cached prefix.
func (e *engine) admit() {
	for len(e.waiting) > 0 && len(e.running) < e.cfg.Slots {
		q := e.waiting[0]
		e.waiting = e.waiting[1:]
		hit := e.cache.lookup(q.job.blocks) * BlockTokens
		q.missing = q.job.promptTokens - hit
		e.cached += hit
		e.prefilled += q.missing
		e.running = append(e.running, q)
	}
}

// step runs one step and schedules the next.
func (e *engine) step() {
	e.admit()
	if len(e.running) == 0 {
		e.active = false
		return
	}
	budget, decoding := e.cfg.PrefillChunk, 0
	var finished []*sequence
	for _, q := range e.running {
		if q.missing == 0 {
			decoding++
			continue
		}
		n := min(budget, q.missing)
		budget -= n
		q.missing -= n
		if n > 0 && q.missing == 0 {
			finished = append(finished, q)
		}
	}
	took := e.cfg.stepTime(decoding, e.cfg.PrefillChunk-budget)
	e.occupied += took * time.Duration(len(e.running)+len(e.waiting))
	e.time.after(took, func() {
		for _, q := range finished {
			e.cache.store(q.job.blocks)
		}
		e.emit()
		e.step()
	})
}

// emit gives a token to each sequence whose prompt is prefilled.
func (e *engine) emit() {
	now := e.time.now
	kept := e.running[:0]
	for _, q := range e.running {
		if q.missing > 0 {
			kept = append(kept, q)
			continue
		}
		q.produced++
		q.lastAt = now
		if q.produced == 1 {
			q.firstAt, q.reportedAt, q.reported = now, now, 1
			q.onFirst()
		} else if n := q.produced - q.reported; n >= progressTokens {
			q.onProgress(n, now.Sub(q.reportedAt))
			q.reportedAt, q.reported = now, q.produced
		}
		if q.produced >= q.job.answerTokens {
			q.onDone()
			continue
		}
		kept = append(kept, q)
	}
	e.running = kept
}

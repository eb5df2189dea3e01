package fleet

import "time"

// sequence is one request on an engine.
type sequence struct {
	job              *job
	prefillRemaining int // prompt tokens that are not prefilled yet
	generated        int // answer tokens
	submittedAt      time.Time
	firstTokenAt     time.Time
	lastTokenAt      time.Time
	onFirstToken     func()
	onProgress       func(tokens int, took time.Duration)
	onDone           func()
	reportedAt       time.Time
	reportedTokens   int
}

// tokensPerProgress is the number of tokens between two progress reports, which an
// entry sees as frames.
const tokensPerProgress = 8

// engine batches continuously: each step gives one token to each decoding
// sequence and prefills one chunk of waiting prompts.
type engine struct {
	cfg      EngineConfig
	clock    *scheduler
	cache    *blockCache
	waiting  []*sequence
	running  []*sequence
	stepping bool

	prefilledTokens, cachedTokens int // prompt tokens of all sequences
	// sequenceTime sums the time that all sequences spent on the engine.
	sequenceTime time.Duration
}

func newEngine(cfg EngineConfig, s *scheduler) *engine {
	return &engine{cfg: cfg, clock: s, cache: newBlockCache(cfg.CacheBlocks)}
}

func (e *engine) submit(q *sequence) {
	q.submittedAt = e.clock.now
	e.waiting = append(e.waiting, q)
	if !e.stepping {
		e.stepping = true
		e.step()
	}
}

// admit moves sequences into the batch and looks up their cached prefix.
func (e *engine) admit() {
	for len(e.waiting) > 0 && len(e.running) < e.cfg.MaxBatch {
		q := e.waiting[0]
		e.waiting = e.waiting[1:]
		hit := e.cache.lookup(q.job.blocks) * TokensPerBlock
		q.prefillRemaining = q.job.promptTokens - hit
		e.cachedTokens += hit
		e.prefilledTokens += q.prefillRemaining
		e.running = append(e.running, q)
	}
}

// step runs one step and schedules the next.
func (e *engine) step() {
	e.admit()
	if len(e.running) == 0 {
		e.stepping = false
		return
	}
	budget, decoding := e.cfg.PrefillChunk, 0
	var finished []*sequence
	for _, q := range e.running {
		if q.prefillRemaining == 0 {
			decoding++
			continue
		}
		n := min(budget, q.prefillRemaining)
		budget -= n
		q.prefillRemaining -= n
		if n > 0 && q.prefillRemaining == 0 {
			finished = append(finished, q)
		}
	}
	took := e.cfg.stepTime(decoding, e.cfg.PrefillChunk-budget)
	e.sequenceTime += took * time.Duration(len(e.running)+len(e.waiting))
	e.clock.after(took, func() {
		for _, q := range finished {
			e.cache.store(q.job.blocks)
		}
		e.emit()
		e.step()
	})
}

// emit gives a token to each sequence whose prompt is prefilled.
func (e *engine) emit() {
	now := e.clock.now
	kept := e.running[:0]
	for _, q := range e.running {
		if q.prefillRemaining > 0 {
			kept = append(kept, q)
			continue
		}
		q.generated++
		q.lastTokenAt = now
		if q.generated == 1 {
			q.firstTokenAt, q.reportedAt, q.reportedTokens = now, now, 1
			q.onFirstToken()
		} else if n := q.generated - q.reportedTokens; n >= tokensPerProgress {
			q.onProgress(n, now.Sub(q.reportedAt))
			q.reportedAt, q.reportedTokens = now, q.generated
		}
		if q.generated >= q.job.outputTokens {
			q.onDone()
			continue
		}
		kept = append(kept, q)
	}
	e.running = kept
}

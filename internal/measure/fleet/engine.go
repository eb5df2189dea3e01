package fleet

import "time"

// sequence is the run of one request on an engine.
type sequence struct {
	job              *job
	prefillRemaining int // prompt tokens not yet prefilled
	generated        int // output tokens generated so far
	submittedAt      time.Time
	firstTokenAt     time.Time
	lastTokenAt      time.Time
	onFirstToken     func()
	onProgress       func(tokens int, elapsed time.Duration)
	onDone           func()
	reportedAt       time.Time // of the last onFirstToken or onProgress
	reportedTokens   int
}

// tokensPerProgress is the number of tokens between two progress reports. An
// entry receives each report as a frame.
const tokensPerProgress = 8

// engine models continuous batching: each step generates one token for each
// decoding sequence and prefills up to one chunk of prompt tokens.
type engine struct {
	cfg       EngineConfig
	scheduler *scheduler
	cache     *blockCache
	waiting   []*sequence
	running   []*sequence
	stepping  bool

	// prefilledTokens and cachedTokens count the prompt tokens of all sequences.
	prefilledTokens, cachedTokens int
	// sequenceTime sums the time spent on the engine over all sequences.
	sequenceTime time.Duration
}

func newEngine(cfg EngineConfig, s *scheduler) *engine {
	return &engine{cfg: cfg, scheduler: s, cache: newBlockCache(cfg.CacheBlocks)}
}

func (e *engine) submit(q *sequence) {
	q.submittedAt = e.scheduler.now
	e.waiting = append(e.waiting, q)
	if !e.stepping {
		e.stepping = true
		e.step()
	}
}

// admit moves waiting sequences into the batch while it has room and looks up
// their cached prefixes.
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

// step runs one step and schedules the next. It stops when no sequence is left.
func (e *engine) step() {
	e.admit()
	if len(e.running) == 0 {
		e.stepping = false
		return
	}
	budget, decoding := e.cfg.PrefillChunk, 0
	var prefilled []*sequence // with the last of their prompt in this step
	for _, q := range e.running {
		if q.prefillRemaining == 0 {
			decoding++
			continue
		}
		n := min(budget, q.prefillRemaining)
		budget -= n
		q.prefillRemaining -= n
		if n > 0 && q.prefillRemaining == 0 {
			prefilled = append(prefilled, q)
		}
	}
	elapsed := e.cfg.stepTime(decoding, e.cfg.PrefillChunk-budget)
	e.sequenceTime += elapsed * time.Duration(len(e.running)+len(e.waiting))
	e.scheduler.after(elapsed, func() {
		for _, q := range prefilled {
			e.cache.store(q.job.blocks)
		}
		e.decode()
		e.step()
	})
}

// decode generates one token for each sequence whose prompt is prefilled and
// removes the completed sequences from the batch.
func (e *engine) decode() {
	now := e.scheduler.now
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

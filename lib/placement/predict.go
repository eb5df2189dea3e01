package placement

import (
	"time"

	"github.com/auburnbend/auburnbend/lib/serving"
)

// estimate is the predicted course of a request on one server, in time from now.
type estimate struct {
	// firstResponse is the time to the first response, without the distance to the
	// server.
	firstResponse time.Duration
	// wait is the part of firstResponse that is caused by other requests.
	wait time.Duration
	// overdue is what unanswered requests of a plain service add. It counts for the choice of
	// a server and leads to no refusal: some requests may hang while others are answered.
	overdue time.Duration
}

// predict estimates the course of a request on the server. usual is the response time of a
// plain service.
func (s *server) predict(req *Request, usual time.Duration, now time.Time) estimate {
	if req.Engine != nil {
		return s.predictEngine(req, now)
	}
	return s.predictPlain(usual, now)
}

// predictPlain models the server as a queue in front of its slots.
func (s *server) predictPlain(usual time.Duration, now time.Time) estimate {
	response := s.expectedResponse(usual, now)
	occupancy := s.occupancy(now)
	wait := time.Duration(0)
	if ahead := occupancy + 1 - s.slots(); ahead > 0 {
		wait = response * time.Duration(ahead) / time.Duration(s.slots())
	}
	// Servers slow down as they fill up. The added time also makes the less busy one of
	// two servers with free slots preferred.
	contention := response * time.Duration(occupancy) / time.Duration(4*s.slots())
	return estimate{firstResponse: response + wait + contention, wait: wait + contention, overdue: s.overdue(response, now)}
}

// predictEngine models the passes of an engine: a request waits for a slot, for the
// end of the current pass, for the prompts ahead of its own, for its own prompt, and
// then for the pass that generates the tokens of its first event.
func (s *server) predictEngine(req *Request, now time.Time) estimate {
	e := req.Engine
	occupancy := s.occupancy(now)
	slots := e.Slots
	if slots <= 0 {
		slots = s.slots()
	}
	busy := min(occupancy, slots)
	pass := passTime(e, busy)
	// Requests that end are replaced, and the prompts of their successors are processed
	// between the passes.
	turnover := turnoverTime(e, busy)
	wait := time.Duration(0)
	if occupancy > 0 {
		wait = (pass+turnover)/2 + turnover
	}
	if ahead := occupancy + 1 - slots; ahead > 0 {
		wait += time.Duration(ahead) * serviceTime(e, slots)
	}
	wait += prefillTime(e, s.prefillAhead(e, now), 0)
	own := prefillTime(e, req.PromptTokens, 1)
	// After each prefill chunk but the last, the running requests make a pass.
	if e.PrefillChunkTokens > 0 && req.PromptTokens > e.PrefillChunkTokens {
		own += time.Duration((req.PromptTokens-1)/e.PrefillChunkTokens) * pass
	}
	slowdown := s.slowdown(now)
	wait = scale(wait, slowdown)
	return estimate{firstResponse: wait + scale(own+passTime(e, busy+1), slowdown), wait: wait}
}

// prefillAhead estimates the prompt tokens that are processed before a new prompt,
// beyond the usual turnover.
func (s *server) prefillAhead(e *serving.Engine, now time.Time) int {
	age := now.Sub(s.reportedAt)
	if age > maxReportAge {
		return s.usage.PrefillTokens
	}
	processed := int(age.Seconds() * e.PrefillTokensPerSecond)
	return s.usage.PrefillTokens + max(0, s.otherPrefillTokens-processed)
}

// turnoverTime is the time per pass that an engine with n requests spends on the
// prompts of new requests.
func turnoverTime(e *serving.Engine, n int) time.Duration {
	if e.MeanOutputTokens <= 0 {
		return 0
	}
	perPass := float64(n*max(1, e.StepsPerPrefillChunk)) / float64(e.MeanOutputTokens)
	return scale(prefillTime(e, e.MeanPromptTokens, 1), perPass)
}

// passTime is the duration of one pass with n requests that generate tokens.
func passTime(e *serving.Engine, n int) time.Duration {
	context := float64(n) * float64(e.MeanPromptTokens+e.MeanOutputTokens/2) / 1000
	step := e.StepTime + time.Duration(n)*e.StepTimePerSequence + time.Duration(context*float64(e.StepTimePer1kContext))
	return step * time.Duration(max(1, e.StepsPerPrefillChunk))
}

// serviceTime is the mean time between the ends of two requests on a full engine.
func serviceTime(e *serving.Engine, slots int) time.Duration {
	decode := passTime(e, slots) * time.Duration(e.MeanOutputTokens) / time.Duration(max(1, e.StepsPerPrefillChunk)*slots)
	return prefillTime(e, e.MeanPromptTokens, 1) + decode
}

// prefillTime is the time to process a prompt. pairs is 1 if its tokens attend to
// each other, and 0 to leave out that cost.
func prefillTime(e *serving.Engine, tokens, pairs int) time.Duration {
	if e.PrefillTokensPerSecond <= 0 {
		return 0
	}
	linear := time.Duration(float64(tokens) / e.PrefillTokensPerSecond * float64(time.Second))
	millionPairs := float64(pairs) * float64(tokens) * float64(tokens) / 2 / 1e6
	return linear + time.Duration(millionPairs*float64(e.PrefillTimePerMillionPairs))
}

// maxPredicted bounds scaled times. It is longer than any request may take.
const maxPredicted = 24 * time.Hour

func scale(d time.Duration, by float64) time.Duration {
	return time.Duration(min(float64(d)*by, float64(maxPredicted)))
}

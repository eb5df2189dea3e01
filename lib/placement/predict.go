package placement

import (
	"time"

	"github.com/auburnbend/auburnbend/lib/serving"
)

// usualAnswerTime is assumed of a plain service that has not answered yet.
const usualAnswerTime = 20 * time.Millisecond

// estimate is the predicted course of a request on one server.
type estimate struct {
	// first is the time to the first answer, without the way to the server.
	first time.Duration
	// wait is the part of first that other requests cause.
	wait time.Duration
}

// predict estimates a request's course on a server.
func (s *server) predict(d *Request, now time.Time) estimate {
	if d.Engine != nil {
		return s.predictEngine(d, now)
	}
	return s.predictPlain(now)
}

// predictPlain takes the server for a queue in front of its slots.
func (s *server) predictPlain(now time.Time) estimate {
	answer := s.answerTime
	if answer <= 0 {
		answer = usualAnswerTime
	}
	occupancy := s.occupancy(now)
	wait := time.Duration(0)
	if ahead := occupancy + 1 - s.slots(); ahead > 0 {
		wait = answer * time.Duration(ahead) / time.Duration(s.slots())
	}
	// Servers slow down when they are nearly full, so that the less busy one of
	// two with free slots is the better one.
	crowding := answer * time.Duration(occupancy) / time.Duration(4*s.slots())
	return estimate{first: answer + wait + crowding, wait: wait + crowding}
}

// predictEngine follows the passes of an engine: a request waits for a slot,
// for the end of the current pass, for the prompts ahead of its own, for its
// own prompt, and then for the tokens of its first event.
func (s *server) predictEngine(d *Request, now time.Time) estimate {
	e := d.Engine
	occupancy := s.occupancy(now)
	slots := e.Slots
	if slots <= 0 {
		slots = s.slots()
	}
	busy := min(occupancy, slots)
	pass := passTime(e, busy)
	// Requests that end are replaced, and the prompts of their successors are
	// read between the passes.
	turnover := turnoverTime(e, busy)
	wait := time.Duration(0)
	if occupancy > 0 {
		wait = (pass+turnover)/2 + turnover
	}
	if ahead := occupancy + 1 - slots; ahead > 0 {
		wait += time.Duration(ahead) * serviceTime(e, slots)
	}
	wait += prefillTime(e, s.promptsAhead(e, now), 0)
	own := prefillTime(e, d.PromptTokens, 1)
	// Each further piece of prefill lets the running requests make a pass.
	if e.ChunkTokens > 0 && d.PromptTokens > e.ChunkTokens {
		own += time.Duration((d.PromptTokens-1)/e.ChunkTokens) * pass
	}
	pace := s.pace(now)
	wait = scale(wait, pace)
	return estimate{first: wait + scale(own+passTime(e, busy+1), pace), wait: wait}
}

// promptsAhead estimates the prompt tokens that are read before a new prompt
// beyond the usual turnover.
func (s *server) promptsAhead(e *serving.Engine, now time.Time) int {
	age := now.Sub(s.loadAt)
	if age > loadAge {
		return s.own.PrefillTokens
	}
	read := int(age.Seconds() * e.PrefillRate)
	return s.own.PrefillTokens + max(0, s.foreignTokens-read)
}

// turnoverTime is the time in which the prompts of new requests are read in one
// pass of an engine with n requests.
func turnoverTime(e *serving.Engine, n int) time.Duration {
	if e.UsualAnswer <= 0 {
		return 0
	}
	perPass := float64(n*max(1, e.StepsPerPass)) / float64(e.UsualAnswer)
	return scale(prefillTime(e, e.UsualPrompt, 1), perPass)
}

// passTime is the time of one pass with n requests that generate tokens.
func passTime(e *serving.Engine, n int) time.Duration {
	context := float64(n) * float64(e.UsualPrompt+e.UsualAnswer/2) / 1000
	step := e.StepTime + time.Duration(n)*e.SequenceTime + time.Duration(context*float64(e.ContextTime))
	return step * time.Duration(max(1, e.StepsPerPass))
}

// serviceTime is the time between the ends of two requests on a full engine.
func serviceTime(e *serving.Engine, slots int) time.Duration {
	decode := passTime(e, slots) * time.Duration(e.UsualAnswer) / time.Duration(max(1, e.StepsPerPass)*slots)
	return prefillTime(e, e.UsualPrompt, 1) + decode
}

// prefillTime is the time to read a prompt; pairs is 1 if its tokens read each
// other.
func prefillTime(e *serving.Engine, tokens, pairs int) time.Duration {
	if e.PrefillRate <= 0 {
		return 0
	}
	read := time.Duration(float64(tokens) / e.PrefillRate * float64(time.Second))
	millionPairs := float64(pairs) * float64(tokens) * float64(tokens) / 2 / 1e6
	return read + time.Duration(millionPairs*float64(e.PairTime))
}

func scale(d time.Duration, by float64) time.Duration { return time.Duration(float64(d) * by) }

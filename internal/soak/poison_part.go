package soak

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/auburnbend/auburnbend/platform/platformtest"
)

// SendPoisonPart is a step in which requests with poisonPart come at random entries beside
// the other requests. No two of them are alike.
const SendPoisonPart StepKind = "ask-poison-part"

const (
	// poisonPartDuration is longer than the time until partCrashes servers have crashed, as
	// those of a plain service are two that restart after a second, and twice the
	// stability time after that.
	poisonPartDuration = 12 * time.Second
	// firstPoisonPartCaller is the lowest number of a caller that sends such requests, above
	// those of SendPoison.
	firstPoisonPartCaller = 1_000_000
)

// newPoisonPartSteps returns at most one step with poisonPart, drawn separately so that the
// other steps of a seed stay the same. It returns none if the step does not fit in window,
// because checkSoundParts then has nothing to check.
func newPoisonPartSteps(seed uint64, window time.Duration) []Step {
	room := window - firstStepStart - poisonPartDuration
	rng := rand.New(rand.NewPCG(seed, 3))
	if room < 0 || rng.IntN(2) == 0 {
		return nil
	}
	start := firstStepStart + time.Duration(rng.Int64N(int64(room)+1))
	return []Step{{Kind: SendPoisonPart, Target: rng.IntN(64), Start: start, Duration: poisonPartDuration}}
}

// sendPoisonPart sends requests with poisonPart on one route until the step ends.
func (t *testbed) sendPoisonPart(ctx context.Context, s Step) {
	prefixes := []string{"/status/", "/order/", "/resumed/"}
	r := routeOf(pick(prefixes, s.Target))
	rng := rand.New(rand.NewPCG(uint64(s.Target), uint64(s.Start)))
	var callers []*caller
	for entry := range t.entries {
		callers = append(callers, t.newCaller(entry, firstPoisonPartCaller+int(s.Start.Milliseconds()), uint64(s.Target)))
	}
	for end := time.Now().Add(s.Duration); time.Now().Before(end) && ctx.Err() == nil; wait(ctx, poisonInterval) {
		c := pick(callers, rng.IntN(len(callers)))
		if !c.routed() {
			continue
		}
		call := c.newCall(r)
		place := rng.IntN(len(call.Parts))
		call.Parts = slices.Insert(call.Parts, place, platformtest.Part{ID: poisonPart, Tokens: sharedTokens})
		if r.streams() {
			call.PromptTokens = platformtest.TokenCount(call.Parts)
		}
		c.send(call, r)
	}
}

// routeOf returns the route with a prefix.
func routeOf(prefix string) *route {
	return &routes[slices.IndexFunc(routes, func(r route) bool { return r.Prefix == prefix })]
}

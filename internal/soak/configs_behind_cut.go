package soak

import (
	"context"
	"math/rand/v2"
	"time"
)

// ConfigsBehindCut is a step in which an entry is cut off from the store while many
// configurations are written.
const ConfigsBehindCut StepKind = "configs-behind-cut"

const (
	// behindCutDuration is longer than the time after which entries no longer read each
	// change of an outage, and than the one after which they notice it.
	behindCutDuration = 6 * time.Second
	// behindCutInterval is the time between two configurations.
	behindCutInterval = 100 * time.Millisecond
)

// newConfigsBehindCutSteps returns at most one such step, drawn separately so that the
// other steps of a seed stay the same. It returns none if no time is left in window to
// check what is in force after it.
func newConfigsBehindCutSteps(seed uint64, window time.Duration) []Step {
	room := window - firstStepStart - behindCutDuration
	rng := rand.New(rand.NewPCG(seed, 4))
	if room < 0 || rng.IntN(3) != 0 {
		return nil
	}
	start := firstStepStart + time.Duration(rng.Int64N(int64(room)+1))
	return []Step{{Kind: ConfigsBehindCut, Target: rng.IntN(64), Start: start, Duration: behindCutDuration, LinkFault: LinkReset + LinkFault(rng.IntN(int(LinkBlackhole-LinkReset)+1))}}
}

// cutWhileConfigsChange cuts an entry off from the store and changes the configuration
// until the step ends, the last time just before.
func (t *testbed) cutWhileConfigsChange(ctx context.Context, s Step) {
	link := pick(t.storeLinks[:len(t.entries)], s.Target)
	link.setFault(s.LinkFault)
	defer link.setFault(LinkHealthy)
	for end := time.Now().Add(s.Duration); time.Now().Before(end) && ctx.Err() == nil; wait(ctx, behindCutInterval) {
		t.changeConfig()
	}
}

// changeConfig writes the next configuration.
func (t *testbed) changeConfig() {
	t.configMu.Lock()
	defer t.configMu.Unlock()
	t.configVersion++
	t.store.PutLiveConfig(liveConfig(t.configVersion, address(t.slot, groupOrigin, 0, serverPort)))
	t.recorder.update(func(rec *recorder, now time.Duration) {
		rec.configs = append(rec.configs, declaredVersion{t.configVersion, now})
	})
}

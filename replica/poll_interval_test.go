package replica

import (
	"context"
	"testing"
	"time"

	"github.com/auburnbend/auburnbend/lib/directory"
)

// Guards against an engine that stays closed for long after its load has ended, because
// its agent looks too seldom.
func TestEndOfALoadIsSeenSoon(t *testing.T) {
	e := &scriptedEngine{}
	r, _, _ := newScripted(e)
	e.state = EngineState{StartUnixMilli: 1, Weights: map[string]directory.Weights{"m": {Version: 1}}}
	for _, busy := range []bool{false, true} {
		e.state.Busy = busy
		r.readEngineState(context.Background())
		if got := r.pollInterval(); busy && got > 30*time.Millisecond || !busy && got != enginePollInterval {
			t.Errorf("busy %v: the state is read after %v", busy, got)
		}
	}
	r.engineState.Store(nil)
	if got := r.pollInterval(); got != enginePollInterval {
		t.Errorf("the state of an engine that doesn't answer is read after %v", got)
	}
}

package replica

import (
	"runtime"
	"sync/atomic"
	"testing"

	"github.com/auburnbend/auburnbend/lib/directory"
)

// Guards against an engine that is reported as open while it loads: the state from before
// its order must not be combined with the end of the order.
func TestEngineIsNotOpenBetweenItsOrderAndItsVerification(t *testing.T) {
	r, _, _ := newScripted(&scriptedEngine{})
	weights := map[string]directory.Weights{"m": {Version: 1, Complete: true}}
	trusted := &timedState{EngineState: EngineState{OrdersAccepted: 1, Weights: weights}}
	taken := &timedState{EngineState: EngineState{OrdersAccepted: 2, Weights: weights}}
	stamp := trusted.stamp()
	r.trusted.Store(&stamp)
	r.openOrder.Store(nil)
	r.engineState.Store(trusted)
	// period is odd while the engine is closed.
	var period atomic.Int64
	stop, done := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(done)
		for {
			select {
			case <-stop:
				return
			default:
			}
			r.draining.Store(true)
			period.Add(1)
			r.engineState.Store(taken)
			r.draining.Store(false)
			runtime.Gosched()
			period.Add(1)
			r.engineState.Store(trusted)
		}
	}()
	for range 2_000_000 {
		before := period.Load()
		draining := r.Draining()
		if before%2 == 1 && period.Load() == before && !draining {
			t.Error("the engine is open")
			break
		}
	}
	close(stop)
	<-done
}

package fault

import (
	"context"
	"sync"
	"time"
)

// WriteLoss tells whether and at which point one write is lost.
type WriteLoss uint8

const (
	// LossNone means that the write and its reply are delivered.
	LossNone WriteLoss = iota
	// LossBefore means that the write is lost before it takes effect.
	LossBefore
	// LossAfter means that the write takes effect and its reply is lost.
	LossAfter
)

// Injector holds the faults of one stand-in. It is safe for concurrent use.
type Injector struct {
	// mu protects the fields below.
	mu        sync.Mutex
	faults    Faults
	byteReads int // reads of object bytes while CorruptEvery was set
}

// Set replaces all faults.
func (i *Injector) Set(f Faults) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.faults = f
}

// Get returns the current faults.
func (i *Injector) Get() Faults {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.faults
}

// BeforeCall applies the faults Down, Stall and Delay to a call. It reports whether the
// service is down. It returns the error of ctx if ctx is done before the call may
// proceed.
func (i *Injector) BeforeCall(ctx context.Context) (down bool, err error) {
	f := i.Get()
	if f.Down {
		return true, nil
	}
	if f.Stall {
		<-ctx.Done()
		return false, ctx.Err()
	}
	if f.Delay > 0 {
		timer := time.NewTimer(f.Delay)
		defer timer.Stop()
		select {
		case <-timer.C:
		case <-ctx.Done():
		}
	}
	return false, ctx.Err()
}

// NextWriteLoss returns the loss for the next write and decrements LoseBefore or
// LoseAfter accordingly.
func (i *Injector) NextWriteLoss() WriteLoss {
	i.mu.Lock()
	defer i.mu.Unlock()
	switch {
	case i.faults.LoseBefore > 0:
		i.faults.LoseBefore--
		return LossBefore
	case i.faults.LoseAfter > 0:
		i.faults.LoseAfter--
		return LossAfter
	default:
		return LossNone
	}
}

// ShouldCorrupt reports whether to corrupt the next read of object bytes. Each call
// counts as one read if CorruptEvery is set.
func (i *Injector) ShouldCorrupt() bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.faults.CorruptEvery <= 0 {
		return false
	}
	i.byteReads++
	return i.byteReads%i.faults.CorruptEvery == 0
}

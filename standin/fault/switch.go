package fault

import (
	"context"
	"sync"
	"time"
)

// WriteLoss says what happens to the reply of one write.
type WriteLoss uint8

const (
	// LossNone delivers the reply.
	LossNone WriteLoss = iota
	// LossBefore drops the write before it takes effect.
	LossBefore
	// LossAfter lets the write take effect and drops the reply.
	LossAfter
)

// Switch holds the Faults of one stand-in. It is safe for concurrent use.
type Switch struct {
	mu     sync.Mutex
	faults Faults
	reads  int
}

// Set replaces all faults.
func (s *Switch) Set(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// Get returns the faults that are set.
func (s *Switch) Get() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// Enter applies Delay and Stall. It reports whether the service is down, and
// returns the error of ctx when the call was not admitted in time.
func (s *Switch) Enter(ctx context.Context) (down bool, err error) {
	f := s.Get()
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

// NextWrite consumes one LoseBefore or LoseAfter.
func (s *Switch) NextWrite() WriteLoss {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.faults.LoseBefore > 0:
		s.faults.LoseBefore--
		return LossBefore
	case s.faults.LoseAfter > 0:
		s.faults.LoseAfter--
		return LossAfter
	default:
		return LossNone
	}
}

// CorruptNext reports whether the next read of bytes is to be damaged.
func (s *Switch) CorruptNext() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.CorruptEvery <= 0 {
		return false
	}
	s.reads++
	return s.reads%s.faults.CorruptEvery == 0
}

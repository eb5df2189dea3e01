package clock

import (
	"sync"
	"time"
)

// Fake is a Clock that only advances when Advance is called. It is safe for concurrent
// use.
type Fake struct {
	mu  sync.Mutex
	now time.Time
}

// NewFake returns a clock that is set to start.
func NewFake(start time.Time) *Fake {
	return &Fake{now: start}
}

// Now implements Clock.
func (f *Fake) Now() time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.now
}

// Advance moves the clock forward by d.
func (f *Fake) Advance(d time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.now = f.now.Add(d)
}

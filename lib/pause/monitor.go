// Package pause notices times during which this process did not run: its machine was
// frozen, suspended or overloaded. What arrived meanwhile is read only afterwards, and
// looks as if it had just been sent.
package pause

import (
	"context"
	"sync"
	"time"

	"github.com/auburnbend/auburnbend/lib/clock"
)

const (
	// interval is the time between two checks.
	interval = 100 * time.Millisecond
	// tolerance is the lateness of a check that is not taken for a pause.
	tolerance = 20 * time.Millisecond
	// maxReadDelay is the longest time after a pause in which what arrived during it is
	// still read. After shorter pauses it is as long as the pause, and at least interval.
	maxReadDelay = time.Second
	// minSuspension is the difference between the two clocks that is taken for a
	// suspension of the machine.
	minSuspension = 50 * time.Millisecond
)

// pause is a time without a check.
type pause struct{ from, to time.Time }

func (p pause) length() time.Duration { return p.to.Sub(p.from) }

// readUntil returns the time until which data may be read that arrived during p.
func (p pause) readUntil() time.Time {
	return p.to.Add(min(max(p.length(), interval), maxReadDelay))
}

// Monitor notices pauses. It is safe for concurrent use.
type Monitor struct {
	// steady does not count suspensions, boot does.
	steady, boot clock.Clock
	onSuspended  func(time.Duration)

	mu sync.Mutex
	// checkedSteady and checkedBoot are the readings of the last check.
	checkedSteady, checkedBoot time.Time
	// last is the last pause after which data may still be unread; zero if there is none.
	last pause
	// unreadUntil is the time until which data may have been read that arrived during any
	// pause.
	unreadUntil time.Time
}

// NewMonitor returns a Monitor. onSuspended, which may be nil, is called with the time for
// which the machine was suspended, after each suspension and before any method returns that
// takes it into account.
func NewMonitor(steady, boot clock.Clock, onSuspended func(time.Duration)) *Monitor {
	return &Monitor{steady: steady, boot: boot, onSuspended: onSuspended, checkedSteady: steady.Now(), checkedBoot: boot.Now()}
}

// Run checks for pauses until ctx ends.
func (m *Monitor) Run(ctx context.Context) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			m.check()
		}
	}
}

// Now returns the current time on the clock that counts suspensions.
func (m *Monitor) Now() time.Time { return m.check() }

// Arrival returns the earliest time at which data may have arrived that is read now.
func (m *Monitor) Arrival() time.Time {
	now := m.check()
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.last != (pause{}) {
		return m.last.from
	}
	return now
}

// Interrupted reports whether what has happened in this process since a time may be due to
// a pause.
func (m *Monitor) Interrupted(since time.Time) bool {
	m.check()
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.unreadUntil.After(since)
}

// check notes a pause that has just ended, and drops the last one if it no longer matters.
func (m *Monitor) check() time.Time {
	m.mu.Lock()
	steady, boot := m.steady.Now(), m.boot.Now()
	// Several callers may check at the same time, in any order.
	suspended := boot.Sub(m.checkedBoot) - steady.Sub(m.checkedSteady)
	if !m.checkedBoot.Before(m.last.readUntil()) {
		m.last = pause{}
	}
	if p := (pause{m.checkedBoot, boot}); p.length() > interval+tolerance {
		if m.last != (pause{}) {
			// What arrived during the last pause is still unread.
			p.from = m.last.from
		}
		m.last, m.unreadUntil = p, p.readUntil()
	} else if !boot.Before(m.last.readUntil()) {
		m.last = pause{}
	}
	m.checkedSteady, m.checkedBoot = steady, boot
	m.mu.Unlock()
	if suspended > minSuspension && m.onSuspended != nil {
		m.onSuspended(suspended)
	}
	return boot
}

package eventlog

import (
	"sync"
	"time"

	"github.com/auburnbend/auburnbend/lib/clock"
)

// RateLimitedLogger limits the rate of each event. It is safe for concurrent use
// if its logger is.
type RateLimitedLogger struct {
	logger   *Logger
	clock    clock.Clock
	interval time.Duration

	mu          sync.Mutex
	lastWritten map[int]time.Time
	dropped     map[int]int
}

// Log writes the event unless it was written within the interval. It adds the
// number of events dropped since the last one written.
func (l *RateLimitedLogger) Log(e Event, keyvals ...any) {
	now := l.clock.Now()
	l.mu.Lock()
	if l.lastWritten == nil {
		l.lastWritten, l.dropped = make(map[int]time.Time), make(map[int]int)
	}
	if at, ok := l.lastWritten[e.Number]; ok && now.Sub(at) < l.interval {
		l.dropped[e.Number]++
		l.mu.Unlock()
		return
	}
	dropped := l.dropped[e.Number]
	l.lastWritten[e.Number], l.dropped[e.Number] = now, 0
	l.mu.Unlock()
	if dropped > 0 {
		keyvals = append(keyvals, "dropped", dropped)
	}
	l.logger.Log(e, keyvals...)
}

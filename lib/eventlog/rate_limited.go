package eventlog

import (
	"sync"
	"time"

	"github.com/auburnbend/auburnbend/lib/clock"
)

// RateLimitedLogger bounds the rate of each event. It is safe for concurrent use if the
// logger is.
type RateLimitedLogger struct {
	logger   *Logger
	clock    clock.Clock
	interval time.Duration

	mu      sync.Mutex
	last    map[int]time.Time
	dropped map[int]int
}

// Log writes the event, with the number of dropped ones before it, unless it
// was written within the interval.
func (q *RateLimitedLogger) Log(e Event, keyvals ...any) {
	now := q.clock.Now()
	q.mu.Lock()
	if q.last == nil {
		q.last, q.dropped = make(map[int]time.Time), make(map[int]int)
	}
	if at, ok := q.last[e.Number]; ok && now.Sub(at) < q.interval {
		q.dropped[e.Number]++
		q.mu.Unlock()
		return
	}
	dropped := q.dropped[e.Number]
	q.last[e.Number], q.dropped[e.Number] = now, 0
	q.mu.Unlock()
	if dropped > 0 {
		keyvals = append(keyvals, "dropped", dropped)
	}
	q.logger.Log(e, keyvals...)
}

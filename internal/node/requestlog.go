package node

import (
	"sync"

	"golang.org/x/time/rate"

	"github.com/auburnbend/auburnbend/gateway"
	"github.com/auburnbend/auburnbend/lib/clock"
	"github.com/auburnbend/auburnbend/lib/eventlog"
)

const (
	// answeredLines bounds the lines a second on requests that were answered.
	answeredLines = 2
	// troubledLines bounds those on all others, which are what is looked for.
	troubledLines = 40
)

// requestLog writes a line at the end of requests, with a bounded volume, and
// counts all of them. It is safe for concurrent use.
type requestLog struct {
	log     *eventlog.Logger
	metrics *metrics
	clock   clock.Clock

	mu                 sync.Mutex
	answered, troubled *rate.Limiter
	dropped            int
}

func newRequestLog(log *eventlog.Logger, m *metrics, c clock.Clock) *requestLog {
	return &requestLog{
		log: log, metrics: m, clock: c,
		answered: rate.NewLimiter(answeredLines, answeredLines),
		troubled: rate.NewLimiter(troubledLines, 2*troubledLines),
	}
}

func (l *requestLog) observe(o gateway.Observation) {
	l.metrics.observe(o)
	if !l.admit(o) {
		return
	}
	l.log.Log(eventlog.RequestEnded,
		"request", o.ID, "outcome", o.Outcome, "reason", o.Reason, "status", o.Status,
		"route", o.Route, "service", o.Service, "team", o.Team, "content", o.ContentFingerprint, "server", o.Server, "attempts", o.Attempts,
		"predicted_ms", o.Predicted.Milliseconds(), "occupancy", o.Occupancy, "retry_after_ms", o.RetryAfter.Milliseconds(), "load_age_ms", o.LoadAge.Milliseconds(), "placed_by", o.PlacedBy, "left_out", o.ExcludedServers,
		"config", o.ConfigVersion, "events", o.Events, "limit_ms", o.Timeout.Milliseconds(),
		"first_ms", o.TimeToFirstByte.Milliseconds(), "total_ms", o.TotalTime.Milliseconds(), "gap_ms", o.LongestGap.Milliseconds())
}

// admit reports whether there is room for another line, and first logs how
// many had no room.
func (l *requestLog) admit(o gateway.Observation) bool {
	l.mu.Lock()
	limiter := l.troubled
	if o.Outcome == gateway.OutcomeAnswered {
		limiter = l.answered
	}
	if !limiter.AllowN(l.clock.Now(), 1) {
		if o.Outcome != gateway.OutcomeAnswered {
			l.dropped++
		}
		l.mu.Unlock()
		return false
	}
	dropped := l.dropped
	l.dropped = 0
	l.mu.Unlock()
	if dropped > 0 {
		l.log.Log(eventlog.LogLinesDropped, "lines", dropped)
	}
	return true
}

package node

import (
	"sync"

	"golang.org/x/time/rate"

	"github.com/auburnbend/auburnbend/gateway"
	"github.com/auburnbend/auburnbend/lib/clock"
	"github.com/auburnbend/auburnbend/lib/eventlog"
)

const (
	// maxAnsweredLines is the maximum number of log lines per second for requests that
	// were answered.
	maxAnsweredLines = 2
	// maxOtherLines is the maximum for all other requests, which are the ones that
	// operators look for.
	maxOtherLines = 40
)

// requestLog logs the end of requests at a limited rate and counts all requests in the
// metrics. It is safe for concurrent use.
type requestLog struct {
	log     *eventlog.Logger
	metrics *metrics
	clock   clock.Clock

	mu                            sync.Mutex
	answeredLimiter, otherLimiter *rate.Limiter
	// dropped counts the lines for unanswered requests that were over the limit since
	// the last written line.
	dropped int
}

func newRequestLog(log *eventlog.Logger, m *metrics, c clock.Clock) *requestLog {
	return &requestLog{
		log: log, metrics: m, clock: c,
		answeredLimiter: rate.NewLimiter(maxAnsweredLines, maxAnsweredLines),
		otherLimiter:    rate.NewLimiter(maxOtherLines, 2*maxOtherLines),
	}
}

func (l *requestLog) observe(o gateway.Observation) {
	l.metrics.observe(o)
	if !l.allow(o) {
		return
	}
	l.log.Log(eventlog.RequestEnded,
		"request", o.ID, "outcome", o.Outcome, "reason", o.Reason, "status", o.Status,
		"route", o.Route, "service", o.Service, "team", o.Team, "content", o.ContentFingerprint, "server", o.Server, "attempts", o.Attempts,
		"predicted_ms", o.Predicted.Milliseconds(), "occupancy", o.Occupancy, "retry_after_ms", o.RetryAfter.Milliseconds(), "load_age_ms", o.LoadAge.Milliseconds(), "weights", o.WeightsVersion, "weights_left_ms", o.WeightsLeft.Milliseconds(), "waited_ms", o.Waited.Milliseconds(), "placed_by", o.PlacedBy, "left_out", o.ExcludedServers,
		"config", o.ConfigVersion, "events", o.Events, "limit_ms", o.Timeout.Milliseconds(),
		"first_ms", o.TimeToFirstByte.Milliseconds(), "total_ms", o.TotalTime.Milliseconds(), "gap_ms", o.LongestGap.Milliseconds())
}

// allow reports whether the rate limit permits a line for o. If so, it first logs how
// many lines for unanswered requests were dropped before.
func (l *requestLog) allow(o gateway.Observation) bool {
	l.mu.Lock()
	limiter := l.otherLimiter
	if o.Outcome == gateway.OutcomeAnswered {
		limiter = l.answeredLimiter
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

package admit

import (
	"time"
)

// Limiter limits the concurrent requests of one entry on one backend server.
// The limit adapts to the observed time to first token and time between tokens.
//
// The increase is additive and the decrease multiplicative, which converges to
// equal shares when several entries use the same backend server (Chiu and Jain,
// 1989). The size of a decrease follows the ratio of target to observation, the
// gradient idea of TCP Vegas (Brakmo and Peterson, 1995) that adaptive
// concurrency limiters in service proxies also use. The reference is the
// declared target rather than the lowest observed latency, because an engine
// with continuous batching slows down with every added request long before it
// is overloaded.
type Limiter struct {
	cfg           LimiterConfig
	limit         float64
	inFlight      int
	peakInFlight  int // maximum since the last change of the limit
	changedAt     time.Time
	firstToken    samples
	betweenTokens samples
}

// samples accumulates observations since the last change of the limit.
type samples struct {
	sum   time.Duration
	count int
}

func (s *samples) add(d time.Duration) {
	s.sum += d
	s.count++
}

// ratioTo returns the ratio of the mean to the target, or 0 without
// observations.
func (s *samples) ratioTo(target time.Duration) float64 {
	if s.count == 0 {
		return 0
	}
	return float64(s.sum) / float64(s.count) / float64(target)
}

// NewLimiter returns a Limiter that starts at LimiterConfig.Initial.
func NewLimiter(cfg LimiterConfig) *Limiter {
	cfg.applyDefaults()
	return &Limiter{cfg: cfg, limit: float64(cfg.Initial)}
}

// Limit returns the current limit, which is between LimiterConfig.Min and
// LimiterConfig.Max.
func (l *Limiter) Limit() int { return int(l.limit) }

// InFlight returns the number of acquired slots.
func (l *Limiter) InFlight() int { return l.inFlight }

// CanAcquire reports whether Acquire would succeed.
func (l *Limiter) CanAcquire() bool { return l.inFlight < l.Limit() }

// Acquire takes a slot. It returns false if the limit is reached.
func (l *Limiter) Acquire() bool {
	if !l.CanAcquire() {
		return false
	}
	l.inFlight++
	l.peakInFlight = max(l.peakInFlight, l.inFlight)
	return true
}

// Release returns a slot taken by Acquire.
func (l *Limiter) Release() { l.inFlight = max(0, l.inFlight-1) }

// ObserveFirstToken records the time from dispatch to the first token.
func (l *Limiter) ObserveFirstToken(now time.Time, d time.Duration) {
	l.firstToken.add(d)
	l.adjust(now)
}

// ObserveBetweenTokens records the time between two tokens of an answer, or the
// mean over a few tokens.
func (l *Limiter) ObserveBetweenTokens(now time.Time, d time.Duration) {
	l.betweenTokens.add(d)
	l.adjust(now)
}

// ObserveRefusal records that the backend server refused a request for lack of
// capacity.
func (l *Limiter) ObserveRefusal(now time.Time) {
	if now.Sub(l.changedAt) >= l.cfg.Interval {
		l.setLimit(now, l.limit*l.cfg.BackoffRatio)
	}
}

// adjust updates the limit, at most once per LimiterConfig.Interval.
func (l *Limiter) adjust(now time.Time) {
	if now.Sub(l.changedAt) < l.cfg.Interval || l.firstToken.count+l.betweenTokens.count < l.cfg.MinSamples {
		return
	}
	over := max(l.firstToken.ratioTo(l.cfg.FirstToken)/l.cfg.EngineShare, l.betweenTokens.ratioTo(l.cfg.BetweenTokens)) / l.cfg.TargetFraction
	switch {
	case over > 1:
		l.setLimit(now, l.limit*max(l.cfg.BackoffRatio, 1/over))
	case l.peakInFlight >= l.Limit():
		// Raise the limit only after it was reached.
		l.setLimit(now, l.limit+1)
	default:
		l.setLimit(now, l.limit)
	}
}

func (l *Limiter) setLimit(now time.Time, limit float64) {
	l.limit = min(max(limit, float64(l.cfg.Min)), float64(l.cfg.Max))
	l.changedAt = now
	l.peakInFlight = l.inFlight
	l.firstToken, l.betweenTokens = samples{}, samples{}
}

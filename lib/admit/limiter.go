package admit

import (
	"time"
)

// Limiter bounds the requests that one entry has on one backend server. The
// limit adapts to the observed time to first token and time between tokens.
//
// The increase is additive and the decrease multiplicative, which converges to
// equal parts when several entries share a backend server (Chiu and Jain,
// 1989). The size of the decrease follows the ratio of target to observation,
// the gradient idea of TCP Vegas (Brakmo and Peterson, 1995) that adaptive
// concurrency limiters in service proxies also use. Here the reference is the
// declared target and not the lowest latency seen, because an engine that
// batches continuously gets slower with each request long before it is
// overloaded.
type Limiter struct {
	cfg      LimiterConfig
	limit    float64
	inFlight int
	peak     int // most in flight since the last change
	changed  time.Time
	first    samples
	between  samples
}

// samples averages observations since the last change.
type samples struct {
	sum   time.Duration
	count int
}

func (s *samples) add(d time.Duration) {
	s.sum += d
	s.count++
}

// over returns the mean as a share of the target, 0 without observations.
func (s *samples) over(target time.Duration) float64 {
	if s.count == 0 {
		return 0
	}
	return float64(s.sum) / float64(s.count) / float64(target)
}

// NewLimiter returns a Limiter at its initial limit.
func NewLimiter(cfg LimiterConfig) *Limiter {
	cfg.applyDefaults()
	return &Limiter{cfg: cfg, limit: float64(cfg.Initial)}
}

// Limit returns the current limit, between Min and Max.
func (l *Limiter) Limit() int { return int(l.limit) }

// InFlight returns the number of acquired requests.
func (l *Limiter) InFlight() int { return l.inFlight }

// CanAcquire reports whether Acquire would succeed.
func (l *Limiter) CanAcquire() bool { return l.inFlight < l.Limit() }

// Acquire takes a place, or returns false when the limit is reached.
func (l *Limiter) Acquire() bool {
	if !l.CanAcquire() {
		return false
	}
	l.inFlight++
	l.peak = max(l.peak, l.inFlight)
	return true
}

// Release gives a place back.
func (l *Limiter) Release() { l.inFlight = max(0, l.inFlight-1) }

// ObserveFirstToken takes the time from dispatch to the first token.
func (l *Limiter) ObserveFirstToken(now time.Time, d time.Duration) {
	l.first.add(d)
	l.adjust(now)
}

// ObserveBetweenTokens takes the time between two tokens of one answer, or the
// mean over a few.
func (l *Limiter) ObserveBetweenTokens(now time.Time, d time.Duration) {
	l.between.add(d)
	l.adjust(now)
}

// ObserveRefusal takes a refusal by the backend server for lack of capacity.
func (l *Limiter) ObserveRefusal(now time.Time) {
	if now.Sub(l.changed) >= l.cfg.Interval {
		l.set(now, l.limit*l.cfg.BackoffRatio)
	}
}

// adjust changes the limit at most once per interval.
func (l *Limiter) adjust(now time.Time) {
	if now.Sub(l.changed) < l.cfg.Interval || l.first.count+l.between.count < l.cfg.MinSamples {
		return
	}
	over := max(l.first.over(l.cfg.FirstToken)/l.cfg.EngineShare, l.between.over(l.cfg.BetweenTokens)) / l.cfg.TargetFraction
	switch {
	case over > 1:
		l.set(now, l.limit*max(l.cfg.BackoffRatio, 1/over))
	case l.peak >= l.Limit():
		// Only a limit that was reached has been tested.
		l.set(now, l.limit+1)
	default:
		l.set(now, l.limit)
	}
}

func (l *Limiter) set(now time.Time, limit float64) {
	l.limit = min(max(limit, float64(l.cfg.Min)), float64(l.cfg.Max))
	l.changed = now
	l.peak = l.inFlight
	l.first, l.between = samples{}, samples{}
}

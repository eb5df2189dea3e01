package config

import (
	"math/rand"
	"time"
)

const (
	// readsPerFirstPoll is the number of reads in the first poll of an entry.
	readsPerFirstPoll = 2
	// maxBackoffFactor limits the wait after failures in large domains, as a
	// multiple of the regular interval. It is also the factor by which the wait is
	// shorter than the regular interval while the store holds further revisions.
	maxBackoffFactor = 4
	// smallDomainEntries is the number of entries in a failure domain up to which
	// MaxBackoff applies unchanged. With more entries the domain as a whole polls
	// often enough even if each entry waits longer.
	smallDomainEntries = 8
)

// FleetSize is the number of entries that an entry knows, including itself.
type FleetSize struct {
	// Entries is the number of live entries of the deployment.
	Entries int
	// DomainEntries is the number of live entries in its own failure domain.
	DomainEntries int
}

// Poller schedules the polls of the store by one entry. It is not safe for
// concurrent use.
type Poller struct {
	cfg      PollerConfig
	rng      *rand.Rand
	next     time.Time
	failures int
}

// NewPoller returns a poller whose first poll is at a random time within the
// period that the first polls of all entries take at the budgeted read rate,
// because all entries may start at the same time.
func NewPoller(cfg PollerConfig, fleet FleetSize, rng *rand.Rand, now time.Time) *Poller {
	cfg.applyDefaults()
	p := &Poller{cfg: cfg, rng: rng}
	spread := seconds(float64(max(1, fleet.Entries)*readsPerFirstPoll) / cfg.ReadRate)
	p.next = now.Add(time.Duration(rng.Float64() * float64(spread)))
	return p
}

// Next returns the time of the next poll.
func (p *Poller) Next() time.Time { return p.next }

// PollDone records the result of a poll and schedules the next one. More means
// that the store holds further revisions, which are read after a shorter wait.
func (p *Poller) PollDone(err error, more bool, fleet FleetSize, now time.Time) {
	wait := p.interval(fleet)
	switch {
	case err != nil:
		wait = p.backoff(wait, fleet)
		p.failures++
	case more:
		p.failures = 0
		wait /= maxBackoffFactor
	default:
		p.failures = 0
	}
	p.next = now.Add(p.jitter(wait))
}

// interval returns the regular time between polls. It grows with the number of
// entries, so that all of them together stay within the read budget.
func (p *Poller) interval(fleet FleetSize) time.Duration {
	return max(p.cfg.Interval, seconds(float64(fleet.Entries)/p.cfg.ReadRate))
}

// backoff returns the wait after a failed poll, which doubles with each failure.
// Its limit grows with the number of entries in a large domain, because one entry
// that reaches the store is enough for the whole domain.
func (p *Poller) backoff(interval time.Duration, fleet FleetSize) time.Duration {
	scaled := p.cfg.MaxBackoff * time.Duration(fleet.DomainEntries) / smallDomainEntries
	limit := max(interval, p.cfg.MaxBackoff, min(scaled, interval*maxBackoffFactor))
	shift := min(p.failures+1, 8)
	return min(limit, interval<<shift)
}

// jitter changes a wait randomly by up to the configured share.
func (p *Poller) jitter(wait time.Duration) time.Duration {
	return time.Duration(float64(wait) * (1 + p.cfg.Jitter*(2*p.rng.Float64()-1)))
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

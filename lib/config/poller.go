package config

import (
	"math/rand"
	"time"
)

const (
	// readsPerStart is what the first poll of a new entry costs.
	readsPerStart = 2
	// maxBackoffFactor bounds the wait after failures as a multiple of the
	// regular one.
	maxBackoffFactor = 4
	// backoffEntries is the number of entries of a domain up to which each of
	// them keeps MaxBackoff; with more, the polls of a domain are dense enough.
	backoffEntries = 8
)

// FleetSize is what an entry knows about its peers.
type FleetSize struct {
	// Entries is the number of live entries of the deployment.
	Entries int
	// DomainEntries is the number of live entries of the own failure domain.
	DomainEntries int
}

// Poller decides when an entry polls the store. It is not safe for concurrent
// use.
type Poller struct {
	cfg      PollerConfig
	rng      *rand.Rand
	next     time.Time
	failures int
}

// NewPoller returns a poller whose first poll is spread over the time in which
// all entries may read the store once, because they may all start at once.
func NewPoller(cfg PollerConfig, fleet FleetSize, rng *rand.Rand, now time.Time) *Poller {
	cfg.applyDefaults()
	p := &Poller{cfg: cfg, rng: rng}
	spread := seconds(float64(max(1, fleet.Entries)*readsPerStart) / cfg.ReadRate)
	p.next = now.Add(time.Duration(rng.Float64() * float64(spread)))
	return p
}

// Next returns the time of the next poll.
func (p *Poller) Next() time.Time { return p.next }

// PollDone takes the end of a poll and sets the next time. More reports that the
// store holds further revisions, which are fetched after a shorter wait.
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

// interval grows with the fleet so that the reads of all entries together stay
// within the budget.
func (p *Poller) interval(fleet FleetSize) time.Duration {
	return max(p.cfg.Interval, seconds(float64(fleet.Entries)/p.cfg.ReadRate))
}

// backoff doubles with each failure. Its bound grows with the entries of a
// large domain, because one of them that reaches the store is enough for all.
func (p *Poller) backoff(interval time.Duration, fleet FleetSize) time.Duration {
	large := p.cfg.MaxBackoff * time.Duration(fleet.DomainEntries) / backoffEntries
	bound := max(interval, p.cfg.MaxBackoff, min(large, interval*maxBackoffFactor))
	shift := min(p.failures+1, 8)
	return min(bound, interval<<shift)
}

func (p *Poller) jitter(wait time.Duration) time.Duration {
	return time.Duration(float64(wait) * (1 + p.cfg.Jitter*(2*p.rng.Float64()-1)))
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

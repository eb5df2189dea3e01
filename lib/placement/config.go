package placement

import (
	"time"

	"github.com/auburnbend/auburnbend/lib/directory"
)

// Config holds the parameters of a Picker. Zero fields take the defaults.
type Config struct {
	// Domain is the failure domain of the entry.
	Domain string
	// Regions gives the region of each failure domain.
	Regions map[string]string
	// DomainDelay and RegionDelay are the round trips to other domains and to
	// other regions, with the price of the traffic expressed as a delay.
	DomainDelay, RegionDelay time.Duration
	// TargetShare is the share of the target within which the first answer must
	// be predicted.
	TargetShare float64
	// EjectAfter is the number of failures in a row after which a server gets
	// no requests for a while.
	EjectAfter int
	// MinEject and MaxEject bound that while.
	MinEject, MaxEject time.Duration
	// OnEject is told of each ejection; nil is told of none.
	OnEject func(server *directory.Server, while time.Duration, because Result)
	// MaxEjectedShare bounds the share of a service's servers that are ejected.
	MaxEjectedShare float64
}

const (
	// defaultDomainDelay is twice the usual round trip of 2 ms, as bytes between
	// domains cost something.
	defaultDomainDelay = 4 * time.Millisecond
	// defaultRegionDelay is larger than the round trip of 4 ms, as links between
	// regions are narrow.
	defaultRegionDelay = 15 * time.Millisecond
	// defaultTargetShare leaves room for the error of the prediction.
	defaultTargetShare     = 0.9
	defaultEjectAfter      = 2
	defaultMinEject        = 500 * time.Millisecond
	defaultMaxEject        = 4 * time.Second
	defaultMaxEjectedShare = 0.5
	// distantChoices is the number of servers of other regions that are compared
	// for one request.
	distantChoices = 2
	// silentAfter is the time after which a server that has not begun to answer
	// when its caller leaves counts as failed. It is twice a usual target.
	silentAfter = time.Second
	// expiryMargin is the time before a bound on weights that is left free besides
	// twice the predicted wait. Requests waited 620 ms in a run in which they then
	// began after the bound.
	expiryMargin = 700 * time.Millisecond
	// openingTime is the time after an engine has opened in which only entries of
	// its region use it: the others learn of it at the same moment and know
	// nothing of each other.
	openingTime = 300 * time.Millisecond
	// distantInterval is the least time between two requests of an entry to the
	// same engine of another region. Reports of changes come at that interval.
	distantInterval = 100 * time.Millisecond
	// minRetryAfter and maxRetryAfter bound the time after which refused callers
	// may come back.
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = 2 * time.Second
	// absentRetryAfter is the time in which a restarted server usually takes
	// requests again.
	absentRetryAfter = time.Second
)

func (c Config) applyDefaults() Config {
	duration := func(v *time.Duration, fallback time.Duration) {
		if *v <= 0 {
			*v = fallback
		}
	}
	duration(&c.DomainDelay, defaultDomainDelay)
	duration(&c.RegionDelay, defaultRegionDelay)
	duration(&c.MinEject, defaultMinEject)
	duration(&c.MaxEject, defaultMaxEject)
	if c.TargetShare <= 0 {
		c.TargetShare = defaultTargetShare
	}
	if c.EjectAfter <= 0 {
		c.EjectAfter = defaultEjectAfter
	}
	if c.MaxEjectedShare <= 0 {
		c.MaxEjectedShare = defaultMaxEjectedShare
	}
	return c
}

package placement

import (
	"time"

	"github.com/auburnbend/auburnbend/lib/admit"
	"github.com/auburnbend/auburnbend/lib/directory"
	"github.com/auburnbend/auburnbend/lib/pace"
)

// Config configures a Picker. Zero fields take defaults.
type Config struct {
	// Domain is the failure domain of the entry.
	Domain string
	// Regions maps each failure domain to its region.
	Regions map[string]string
	// DomainDelay and RegionDelay are added to the predicted time of servers in other
	// failure domains and in other regions. They cover the round trip and, expressed as
	// a delay, the cost of the traffic.
	DomainDelay, RegionDelay time.Duration
	// TargetShare is the share of the latency target within which the first response
	// must be predicted.
	TargetShare float64
	// EjectAfter is the number of consecutive failures after which a server is ejected:
	// it gets no requests for a while.
	EjectAfter int
	// MinEject and MaxEject bound the duration of an ejection.
	MinEject, MaxEject time.Duration
	// OnEject is called at each ejection; nil is not called.
	OnEject func(server *directory.Server, duration time.Duration, cause Result)
	// OnPace is called when the concurrency of a server begins to be limited because it has
	// just started or recovered, and after the given duration when it no longer is; nil is
	// not called.
	OnPace func(server *directory.Server, cause pace.Cause, limited bool, duration time.Duration)
	// WaitForPlacement lets ranked requests wait in their entry if the service is overloaded or
	// its engines have no weights for them yet. They are mostly answered late then, in places of
	// others that would be in time.
	WaitForPlacement bool
	// OnOverload is called when the gate of a service begins and ends to refuse requests; nil
	// is not called.
	OnOverload func(service string, o admit.Overload)
	// MaxEjectedShare is the share of a service's servers above which ejections are
	// taken for a common fault: the ejected servers are then used if no others are
	// available.
	MaxEjectedShare float64
}

const (
	// defaultDomainDelay is twice the usual round trip of 2 ms, as traffic between
	// failure domains has a cost.
	defaultDomainDelay = 4 * time.Millisecond
	// defaultRegionDelay is longer than the usual round trip of 4 ms, as links between
	// regions are narrow.
	defaultRegionDelay = 15 * time.Millisecond
	// defaultTargetShare leaves room for the error of the prediction.
	defaultTargetShare     = 0.9
	defaultEjectAfter      = 2
	defaultMinEject        = 500 * time.Millisecond
	defaultMaxEject        = 4 * time.Second
	defaultMaxEjectedShare = 0.5
	// remoteChoices is the number of servers of other regions that are compared for one
	// request.
	remoteChoices = 2
	// noResponseThreshold is the time after which a server counts as failed if it has
	// not begun to respond when the caller gives up. It is twice a usual latency
	// target.
	noResponseThreshold = time.Second
	// versionMargin is the time that is kept free before a version deadline, in
	// addition to twice the predicted wait. Requests have waited 620 ms on their
	// servers and then begun after the deadline.
	versionMargin = 700 * time.Millisecond
	// localOnlyTime is the time after an engine starts to accept requests during which
	// only entries of its region use it. The entries of other regions learn of it at
	// the same moment and do not know of each other's requests.
	localOnlyTime = 300 * time.Millisecond
	// remoteInterval is the minimum time between two requests of an entry to the same
	// engine of another region. Reports of load changes arrive at this interval.
	remoteInterval = 100 * time.Millisecond
	// minRetryAfter and maxRetryAfter bound the retry delay of refused callers.
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = 2 * time.Second
	// unavailableRetryAfter is the time within which a restarted server usually accepts
	// requests again.
	unavailableRetryAfter = time.Second
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

package route

import (
	"time"

	"github.com/auburnbend/auburnbend/lib/model"
)

// Config holds the parameters of a Picker. Zero fields take their defaults.
// Loads and penalties are fractions of an instance's capacity.
type Config struct {
	// Domain and Region are the failure domain and region of the entry.
	Domain model.FailureDomain
	Region model.Region
	// MaxReportAge is the maximum age of an instance's last report. Instances
	// with older reports are picked only if there are no others.
	MaxReportAge time.Duration
	// ReportHalfLife is the age at which a load report has half its weight.
	ReportHalfLife time.Duration
	// DefaultCapacity is the capacity, in concurrent requests, of instances that
	// report none.
	DefaultCapacity int
	// ScoreTolerance is the difference to the best score up to which an instance
	// takes part in the random choice.
	ScoreTolerance float64
	// CacheBonus is the score reduction for a cached prefix that covers the whole
	// prompt.
	CacheBonus float64
	// AffinityBonus is the score reduction for the rendezvous choice of the
	// prefix.
	AffinityBonus float64
	// LoadBoundFactor is the ratio to the mean load up to which an instance may
	// be a rendezvous choice.
	LoadBoundFactor float64
	// MinFreeShare is the share of candidates that must have free capacity for a
	// request to take one without its prefix immediately. When nearly all are
	// full, the only available instance is the one that finished a request last.
	// Without waiting, it would get an arbitrary request, and prefix caches would
	// become useless when they matter most.
	MinFreeShare float64
	// MinWaitGain is the score advantage of a full instance that makes a request
	// wait for it.
	MinWaitGain float64
	// MaxWait is the maximum duration of that wait. It must leave time for the
	// first token: the default is two thirds of a target of 1.4 s.
	MaxWait time.Duration
	// PrefixTTL is the time after which an unconfirmed block in the prefix index
	// expires.
	PrefixTTL time.Duration
	// MaxPrefixes limits the blocks per epoch of the prefix index, which keeps
	// two epochs.
	MaxPrefixes int
	// SpillThreshold is the load of the best instance in the entry's own failure
	// domain above which other domains are considered.
	SpillThreshold float64
	// DomainDelay and RegionDelay are the round-trip times to other failure
	// domains of the region and to other regions, which delay the first token.
	DomainDelay, RegionDelay time.Duration
	// FullLoadDelay is the delay of the first token on a fully loaded instance.
	// The ratio of DomainDelay or RegionDelay to it is added to the score of an
	// instance in another domain.
	FullLoadDelay time.Duration
	// SlowStart is the time over which an instance that is new, has loaded other
	// weights or was readmitted reaches its full share.
	SlowStart time.Duration
	// SlowStartShare is the share at the beginning of the slow start.
	SlowStartShare float64
	// EjectThreshold is the number of consecutive errors that eject an instance.
	EjectThreshold int
	// EjectDuration is the duration of the first ejection. It doubles with each
	// further one, up to MaxEjectDuration.
	EjectDuration, MaxEjectDuration time.Duration
	// MaxEjectedShare is the maximum share of a pool that may be ejected at once.
	MaxEjectedShare float64
	// RetryAfter is the retry advice in refusals.
	RetryAfter time.Duration
}

func (c *Config) applyDefaults() {
	durations := []struct {
		field *time.Duration
		value time.Duration
	}{
		{&c.MaxReportAge, 3 * time.Second},
		{&c.ReportHalfLife, 2 * time.Second},
		{&c.DomainDelay, 2 * time.Millisecond},
		{&c.RegionDelay, 4 * time.Millisecond},
		// The engine model shows 79 ms at a quarter of the capacity and 138 ms at
		// just over half (95th percentile).
		{&c.FullLoadDelay, 200 * time.Millisecond},
		{&c.MaxWait, 900 * time.Millisecond},
		{&c.PrefixTTL, 2 * time.Minute},
		{&c.SlowStart, 10 * time.Second},
		{&c.EjectDuration, 5 * time.Second},
		{&c.MaxEjectDuration, time.Minute},
		{&c.RetryAfter, time.Second},
	}
	for _, d := range durations {
		if *d.field <= 0 {
			*d.field = d.value
		}
	}
	shares := []struct {
		field *float64
		value float64
	}{
		{&c.ScoreTolerance, 0.02},
		{&c.CacheBonus, 0.3},
		{&c.AffinityBonus, 0.1},
		{&c.LoadBoundFactor, 1.25},
		{&c.MinFreeShare, 0.75},
		{&c.MinWaitGain, 0.1},
		{&c.SpillThreshold, 0.9},
		{&c.SlowStartShare, 0.1},
		{&c.MaxEjectedShare, 0.34},
	}
	for _, s := range shares {
		if *s.field <= 0 {
			*s.field = s.value
		}
	}
	if c.DefaultCapacity <= 0 {
		c.DefaultCapacity = 16
	}
	if c.MaxPrefixes <= 0 {
		c.MaxPrefixes = 1 << 16
	}
	if c.EjectThreshold <= 0 {
		c.EjectThreshold = 5
	}
}

package route

import (
	"time"

	"github.com/auburnbend/auburnbend/lib/model"
)

// Config holds the parameters of a Picker. Zero fields take the defaults. Loads
// and penalties are in shares of an instance's capacity.
type Config struct {
	// Domain is the failure domain of the entry, Region its region.
	Domain model.FailureDomain
	Region model.Region
	// MaxReportAge is how old an instance's last report may be. Instances with an
	// older one are picked only when there is no other.
	MaxReportAge time.Duration
	// ReportHalfLife is the age at which a load report counts half.
	ReportHalfLife time.Duration
	// DefaultCapacity is used for instances that report none.
	DefaultCapacity int
	// ScoreTolerance is how much worse than the best score an instance may be to
	// take part in the random choice.
	ScoreTolerance float64
	// CacheBonus is the value of a cached prefix that covers the whole prompt.
	CacheBonus float64
	// AffinityBonus is the value of being the prefix's rendezvous choice.
	AffinityBonus float64
	// LoadBoundFactor is the factor over the mean load up to which an instance may
	// be a rendezvous choice.
	LoadBoundFactor float64
	// MinFreeShare is the share of instances that must be free for a request to
	// take one without its prefix. When nearly all are full, the only free one
	// is the one whose answer ended last: without waiting, it gets a request of
	// any kind, and prefix caches lose their use just when they matter most.
	MinFreeShare float64
	// MinWaitGain is how much better the score of a full instance must be for a
	// request to wait for it.
	MinWaitGain float64
	// MaxWait bounds that wait. It must leave time for the first token: the
	// default is two thirds of a target of 1.4 s.
	MaxWait time.Duration
	// PrefixTTL is the age at which a prefix entry no longer counts.
	PrefixTTL time.Duration
	// MaxPrefixes bounds the blocks in the prefix index: at most twice as many
	// are kept.
	MaxPrefixes int
	// SpillThreshold is the load of the best instance of the entry's own domain
	// from which other domains are considered.
	SpillThreshold float64
	// DomainDelay and RegionDelay are the round trips to other domains of the
	// region and to other regions, by which they delay the first token.
	DomainDelay, RegionDelay time.Duration
	// FullLoadDelay is by how much a full load delays the first token. The ratio of
	// the two delays is added to the score of an instance in another domain.
	FullLoadDelay time.Duration
	// SlowStart is the time in which a new instance, or one that has just
	// loaded other weights, comes to its full share.
	SlowStart time.Duration
	// SlowStartShare is the share with which it begins.
	SlowStartShare float64
	// EjectThreshold is the number of consecutive errors that eject an instance.
	EjectThreshold int
	// EjectDuration is the time of the first ejection. It doubles with each further
	// one, up to EjectMax.
	EjectDuration, MaxEjectDuration time.Duration
	// MaxEjectedShare is the largest share of a pool that is ejected.
	MaxEjectedShare float64
	// RetryAfter is the advice in refusals that no known event will end.
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
		// The model of engines shows 79 ms at a quarter of the capacity and
		// 138 ms at just over half (95th percentile).
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

package engine

import "time"

// DefaultCrashMarker is the text that crashes the engine when it stands in the
// body of a request.
const DefaultCrashMarker = "crash-the-engine"

// Config holds the behaviour of the stand-in. Times are those of an engine in
// use; Scale makes tests run faster.
type Config struct {
	// Address is the loopback listen address; port 0 takes a free port.
	Address string
	// TimeScale multiplies all times below; 0.01 runs a hundred times as fast.
	TimeScale float64
	// Capacity is the number of requests that run at once.
	Capacity int
	// MaxQueue bounds the requests that wait; more are refused.
	MaxQueue int
	// TokenTime is the time between tokens of one running request alone.
	TokenTime time.Duration
	// TimePerExtraRequest is added to TokenTime for each further running request.
	TimePerExtraRequest time.Duration
	// PrefillTime is the time for a prompt whose prefix is not cached.
	PrefillTime time.Duration
	// LoadTime is the time that a load takes.
	LoadTime time.Duration
	// RestartDelay is the time from a crash until the engine listens again.
	RestartDelay time.Duration
	// LoadLag is the least age of a load report.
	LoadLag time.Duration
	// CacheEventDelay is the time from a cache change to its event.
	CacheEventDelay time.Duration
	// CacheEventLoss is the share of cache events that are never published.
	CacheEventLoss float64
	// CacheCapacity is the number of prefixes that fit into the cache.
	CacheCapacity int
	// Retention is how long a finished stream can be resumed.
	Retention time.Duration
	// IgnoreFencing makes the engine run orders with old numbers.
	IgnoreFencing bool
	// IgnoreWeights makes the engine run requests, resumes and imports that
	// name other weights than it has.
	IgnoreWeights bool
	// CrashMarker crashes the engine when a body that contains it starts to
	// run.
	CrashMarker string
	// Seed of the random source that drops cache events.
	Seed uint64
}

func (c *Config) applyDefaults() {
	if c.Address == "" {
		c.Address = "127.0.0.1:0"
	}
	if c.TimeScale <= 0 {
		c.TimeScale = 1
	}
	defaultTo(&c.Capacity, 16)
	defaultTo(&c.MaxQueue, 256)
	defaultTo(&c.CacheCapacity, 64)
	defaultTo(&c.TokenTime, 20*time.Millisecond)
	defaultTo(&c.TimePerExtraRequest, time.Millisecond)
	defaultTo(&c.PrefillTime, 200*time.Millisecond)
	defaultTo(&c.LoadTime, 5*time.Second)
	defaultTo(&c.RestartDelay, 3*time.Second)
	defaultTo(&c.LoadLag, 500*time.Millisecond)
	defaultTo(&c.CacheEventDelay, 500*time.Millisecond)
	defaultTo(&c.Retention, 20*time.Second)
	if c.CrashMarker == "" {
		c.CrashMarker = DefaultCrashMarker
	}
}

func defaultTo[T int | time.Duration](v *T, value T) {
	if *v <= 0 {
		*v = value
	}
}

func (c *Config) scaled(d time.Duration) time.Duration {
	return time.Duration(float64(d) * c.TimeScale)
}

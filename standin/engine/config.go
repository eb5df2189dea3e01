package engine

import "time"

// DefaultCrashMarker is the text that crashes the engine if a request body contains
// it.
const DefaultCrashMarker = "crash-the-engine"

// Config configures a Server. Durations are those of a real engine; TimeScale makes
// tests run faster. Zero values are replaced by defaults.
type Config struct {
	// Address is the loopback listen address; port 0 selects a free port.
	Address string
	// TimeScale multiplies all durations below; 0.01 runs a hundred times as fast.
	TimeScale float64
	// Capacity is the number of requests that run concurrently.
	Capacity int
	// MaxQueue is the maximum number of waiting requests; more are rejected.
	MaxQueue int
	// TokenTime is the time between tokens of a request that runs alone.
	TokenTime time.Duration
	// TimePerExtraRequest is added to TokenTime for each additional running request.
	TimePerExtraRequest time.Duration
	// PrefillTime is the prefill time of a prompt whose prefix is not cached.
	PrefillTime time.Duration
	// LoadTime is the duration of a load.
	LoadTime time.Duration
	// RestartDelay is the time from a crash until the engine listens again.
	RestartDelay time.Duration
	// LoadLag is the minimum age of a load report.
	LoadLag time.Duration
	// CacheEventDelay is the time from a cache change until its event is visible.
	CacheEventDelay time.Duration
	// CacheEventLoss is the share of cache events that are lost, from 0 to 1.
	CacheEventLoss float64
	// CacheCapacity is the number of prefixes that fit into the cache.
	CacheCapacity int
	// Retention is the time for which a finished stream can be resumed.
	Retention time.Duration
	// IgnoreFencing makes the engine run orders with outdated fencing numbers, and
	// several orders at the same time.
	IgnoreFencing bool
	// IgnoreWeights makes the engine accept requests, resumes, exports and imports
	// that name other weights than the loaded ones.
	IgnoreWeights bool
	// CrashMarker crashes the engine when a request whose body contains it starts to
	// run.
	CrashMarker string
	// Seed is the seed of the random source for losing cache events.
	Seed uint64
}

func (c *Config) applyDefaults() {
	if c.Address == "" {
		c.Address = "127.0.0.1:0"
	}
	if c.TimeScale <= 0 {
		c.TimeScale = 1
	}
	setDefault(&c.Capacity, 16)
	setDefault(&c.MaxQueue, 256)
	setDefault(&c.CacheCapacity, 64)
	setDefault(&c.TokenTime, 20*time.Millisecond)
	setDefault(&c.TimePerExtraRequest, time.Millisecond)
	setDefault(&c.PrefillTime, 200*time.Millisecond)
	setDefault(&c.LoadTime, 5*time.Second)
	setDefault(&c.RestartDelay, 3*time.Second)
	setDefault(&c.LoadLag, 500*time.Millisecond)
	setDefault(&c.CacheEventDelay, 500*time.Millisecond)
	setDefault(&c.Retention, 20*time.Second)
	if c.CrashMarker == "" {
		c.CrashMarker = DefaultCrashMarker
	}
}

func setDefault[T int | time.Duration](v *T, value T) {
	if *v <= 0 {
		*v = value
	}
}

func (c *Config) scaled(d time.Duration) time.Duration {
	return time.Duration(float64(d) * c.TimeScale)
}

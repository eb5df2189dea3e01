package engine

import "time"

const (
	// defaultDialTimeout is long for a backend server on the same instance.
	defaultDialTimeout = time.Second
	// defaultReadTimeout bounds the reads of state, load and cache.
	defaultReadTimeout = 2 * time.Second
	// defaultOrderTimeout bounds a load of the largest models in use.
	defaultOrderTimeout = 15 * time.Minute
	// defaultRequestTimeout bounds a request whose context has no deadline.
	defaultRequestTimeout = 10 * time.Minute
	// defaultStall is the longest pause inside a stream. An engine sends a
	// keep-alive comment while a request waits in its queue.
	defaultStall = 30 * time.Second
	// defaultMaxAnswer bounds an answer in bytes.
	defaultMaxAnswer = 64 << 20
	// maxEvent bounds one server-sent event in bytes.
	maxEvent = 4 << 20
	// maxConnections is above the capacity of any engine; the agent's gate is
	// the limit that counts.
	maxConnections = 16384
)

// Config holds the settings of a client.
type Config struct {
	// Address is the base address of the backend server, such as
	// http://127.0.0.1:9000.
	Address        string
	DialTimeout    time.Duration
	ReadTimeout    time.Duration
	OrderTimeout   time.Duration
	RequestTimeout time.Duration
	// StallTimeout is the longest pause inside a stream before it counts as lost.
	StallTimeout time.Duration
	// MaxResponseBytes bounds an answer in bytes.
	MaxResponseBytes int64
}

func (c *Config) applyDefaults() {
	defaultTo(&c.DialTimeout, defaultDialTimeout)
	defaultTo(&c.ReadTimeout, defaultReadTimeout)
	defaultTo(&c.OrderTimeout, defaultOrderTimeout)
	defaultTo(&c.RequestTimeout, defaultRequestTimeout)
	defaultTo(&c.StallTimeout, defaultStall)
	if c.MaxResponseBytes <= 0 {
		c.MaxResponseBytes = defaultMaxAnswer
	}
}

func defaultTo(d *time.Duration, value time.Duration) {
	if *d <= 0 {
		*d = value
	}
}

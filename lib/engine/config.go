package engine

import (
	"time"

	"github.com/auburnbend/auburnbend/lib/memory"
	"github.com/auburnbend/auburnbend/lib/ratelimit"
)

const (
	// defaultDialTimeout is long for a connection within one instance, where the
	// backend server runs.
	defaultDialTimeout = time.Second
	// defaultReadTimeout limits reads of state, load and cache.
	defaultReadTimeout = 2 * time.Second
	// defaultOrderTimeout is enough to load the largest models in use.
	defaultOrderTimeout = 15 * time.Minute
	// defaultRequestTimeout limits a request whose context has no deadline.
	defaultRequestTimeout = 10 * time.Minute
	// defaultStallTimeout covers pauses within a stream only: while a request
	// waits in its queue, an engine sends keep-alive comments.
	defaultStallTimeout = 30 * time.Second
	// defaultMaxResponseBytes limits the body of a plain service response or an
	// order reply.
	defaultMaxResponseBytes = 64 << 20
	// maxEventBytes limits one line of a server-sent event, and what is read to complete an
	// event.
	maxEventBytes = 4 << 20
	// freeEventBytes is what may be read to complete an event without room in Config.Events.
	freeEventBytes = 64 << 10
	// maxConnections is higher than the capacity of any engine. The effective
	// limit on concurrent requests is the agent's gate.
	maxConnections = 16384
)

// Config configures a Client or PlainClient. Zero timeouts and limits are
// replaced by defaults.
type Config struct {
	// Address is the base URL of the backend server, such as
	// http://127.0.0.1:9000.
	Address     string
	DialTimeout time.Duration
	// ReadTimeout limits reads of state, load and cache, and cancellations.
	ReadTimeout  time.Duration
	OrderTimeout time.Duration
	// RequestTimeout limits a request unless its context has an earlier deadline.
	RequestTimeout time.Duration
	// StallTimeout is the longest pause within a stream before the stream is
	// considered lost.
	StallTimeout time.Duration
	// MaxResponseBytes limits the body of a plain service response or an order
	// reply.
	MaxResponseBytes int64
	// Events bounds the memory of long events of all streams. A stream with one waits for
	// room in its connection, and has the room until it is closed. If nil, the streams are
	// not bounded together.
	Events *memory.Budget
	// OnRateLimit is called with what the response to a request says about the rate
	// limit of the server, and with the time since the request was sent. Reads of state,
	// load and cache are no requests. It must be safe for concurrent use and may be nil.
	OnRateLimit func(s ratelimit.Statement, sinceSent time.Duration)
}

func (c *Config) applyDefaults() {
	setDefault(&c.DialTimeout, defaultDialTimeout)
	setDefault(&c.ReadTimeout, defaultReadTimeout)
	setDefault(&c.OrderTimeout, defaultOrderTimeout)
	setDefault(&c.RequestTimeout, defaultRequestTimeout)
	setDefault(&c.StallTimeout, defaultStallTimeout)
	if c.OnRateLimit == nil {
		c.OnRateLimit = func(ratelimit.Statement, time.Duration) {}
	}
	if c.MaxResponseBytes <= 0 {
		c.MaxResponseBytes = defaultMaxResponseBytes
	}
}

func setDefault(d *time.Duration, value time.Duration) {
	if *d <= 0 {
		*d = value
	}
}

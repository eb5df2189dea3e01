// Package retry limits how often an entry retries requests, so that a fault
// does not multiply the load of the backend servers.
package retry

import "time"

// Config holds the limits that apply to all entries of a deployment together.
type Config struct {
	// Ratio is the number of retries allowed per request to a service.
	Ratio float64
	// Window is the period over which requests and retries are counted.
	Window time.Duration
	// Slack is the number of retries per window that are allowed regardless of
	// the number of requests.
	Slack float64
}

const (
	// safetyFactor keeps an entry below its share of the limit, because a
	// window measured elsewhere may start at another time.
	safetyFactor = 0.8
	// bucketsPerWindow is the number of buckets that make up a window.
	bucketsPerWindow = 20
)

// Budget counts the requests and retries of one entry per service. It is not
// safe for concurrent use.
type Budget struct {
	config   Config
	entries  int
	services map[string]*serviceCounts
}

// New returns a Budget. entries is the number of entries that share
// Config.Slack.
func New(config Config, entries int) *Budget {
	return &Budget{config: config, entries: max(1, entries), services: make(map[string]*serviceCounts)}
}

// SetEntries sets the number of entries that share Config.Slack.
func (b *Budget) SetEntries(n int) { b.entries = max(1, n) }

// SetConfig changes the limits. If the window length changes, counting
// restarts.
func (b *Budget) SetConfig(config Config) {
	if config.Window != b.config.Window {
		b.services = make(map[string]*serviceCounts)
	}
	b.config = config
}

// CountRequest counts the first dispatch of a request.
func (b *Budget) CountRequest(service string, now time.Time) { b.counts(service, now).requests[0]++ }

// Take counts a retry and returns true, or returns false if none is left.
func (b *Budget) Take(service string, now time.Time) bool {
	c := b.counts(service, now)
	if float64(c.sum(&c.retries))+1 > b.limit(c) {
		return false
	}
	c.retries[0]++
	return true
}

// Remaining returns the number of retries left in the current window, which may
// be fractional.
func (b *Budget) Remaining(service string, now time.Time) float64 {
	c := b.counts(service, now)
	return max(0, b.limit(c)-float64(c.sum(&c.retries)))
}

func (b *Budget) limit(c *serviceCounts) float64 {
	return safetyFactor * (b.config.Ratio*float64(c.sum(&c.requests)) + b.config.Slack/float64(b.entries))
}

func (b *Budget) counts(service string, now time.Time) *serviceCounts {
	c := b.services[service]
	if c == nil {
		c = &serviceCounts{}
		b.services[service] = c
	}
	c.advance(now, b.config.Window/bucketsPerWindow)
	return c
}

// serviceCounts holds the requests and retries of one service in the current
// window by bucket, newest bucket first.
type serviceCounts struct {
	requests, retries [bucketsPerWindow]int
	// newestBucket is the number of the newest bucket since the Unix epoch.
	newestBucket int64
}

func (c *serviceCounts) advance(now time.Time, bucketLength time.Duration) {
	bucket := now.UnixNano() / int64(max(bucketLength, time.Millisecond))
	shift := bucket - c.newestBucket
	if shift <= 0 {
		return
	}
	n := int(min(shift, bucketsPerWindow))
	for _, buckets := range []*[bucketsPerWindow]int{&c.requests, &c.retries} {
		copy(buckets[n:], buckets[:bucketsPerWindow-n])
		clear(buckets[:n])
	}
	c.newestBucket = bucket
}

func (c *serviceCounts) sum(buckets *[bucketsPerWindow]int) int {
	total := 0
	for _, n := range buckets {
		total += n
	}
	return total
}

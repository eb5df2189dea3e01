// Package retry bounds how often an entry sends a request once more, so that a
// fault does not multiply the load of the backend servers.
package retry

import "time"

// Config holds the bounds that all entries of a deployment share.
type Config struct {
	// Ratio is the share of the requests to a service that may be sent again.
	Ratio float64
	// Window is the span in which requests and repeats are counted.
	Window time.Duration
	// Slack are repeats in a window that need no requests.
	Slack float64
}

const (
	// safety keeps an entry's share below the bound, as windows of other
	// observers begin at other moments.
	safety = 0.8
	// buckets is the number of parts into which a window is divided.
	buckets = 20
)

// Budget counts the requests and repeats of one entry for each service. It is
// not safe for concurrent use.
type Budget struct {
	config   Config
	entries  int
	services map[string]*counts
}

// New returns a Budget. entries is the number of entries that share the slack.
func New(config Config, entries int) *Budget {
	return &Budget{config: config, entries: max(1, entries), services: make(map[string]*counts)}
}

// SetEntries sets the number of entries that share the slack.
func (b *Budget) SetEntries(n int) { b.entries = max(1, n) }

// SetConfig changes the bounds. A window of another length begins anew.
func (b *Budget) SetConfig(config Config) {
	if config.Window != b.config.Window {
		b.services = make(map[string]*counts)
	}
	b.config = config
}

// CountRequest counts the first dispatch of a request.
func (b *Budget) CountRequest(service string, now time.Time) { b.counts(service, now).requests[0]++ }

// Take spends one repeat, or reports that none is left.
func (b *Budget) Take(service string, now time.Time) bool {
	c := b.counts(service, now)
	if float64(c.sum(&c.repeats))+1 > b.limit(c) {
		return false
	}
	c.repeats[0]++
	return true
}

// Remaining returns the number of repeats that are left in this window.
func (b *Budget) Remaining(service string, now time.Time) float64 {
	c := b.counts(service, now)
	return max(0, b.limit(c)-float64(c.sum(&c.repeats)))
}

func (b *Budget) limit(c *counts) float64 {
	return safety * (b.config.Ratio*float64(c.sum(&c.requests)) + b.config.Slack/float64(b.entries))
}

func (b *Budget) counts(service string, now time.Time) *counts {
	c := b.services[service]
	if c == nil {
		c = &counts{}
		b.services[service] = c
	}
	c.advance(now, b.config.Window/buckets)
	return c
}

// counts are the requests and repeats of the last window, newest part first.
type counts struct {
	requests, repeats [buckets]int
	// part is the number of the newest part since the Unix epoch.
	part int64
}

func (c *counts) advance(now time.Time, length time.Duration) {
	part := now.UnixNano() / int64(max(length, time.Millisecond))
	shift := part - c.part
	if shift <= 0 {
		return
	}
	n := int(min(shift, buckets))
	for _, counts := range []*[buckets]int{&c.requests, &c.repeats} {
		copy(counts[n:], counts[:buckets-n])
		clear(counts[:n])
	}
	c.part = part
}

func (c *counts) sum(counts *[buckets]int) int {
	total := 0
	for _, n := range counts {
		total += n
	}
	return total
}

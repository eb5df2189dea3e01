package admit

import (
	"time"

	"github.com/auburnbend/auburnbend/lib/model"
)

// Config holds the parameters of a Queue. Zero fields take their defaults.
type Config struct {
	// MaxQueued is the maximum number of queued requests of all tenants.
	MaxQueued int
	// TenantMaxQueued is the maximum number of queued requests of a tenant that
	// declares no limit.
	TenantMaxQueued int
	// PriorityLead is the head start, in tokens per step of priority, that a
	// request of a tenant with a mean share has over other tenants' requests. The
	// advantage is bounded, so no class starves.
	PriorityLead float64
	// Burst is the credit, in tokens, that a tenant with a mean share keeps while
	// it is idle. Without it, a tenant that uses its share only on average loses
	// the service missed during its pauses to tenants that always have requests
	// queued, and its bursts are rejected.
	Burst float64
	// MaxOvertake is the number of tokens, at a mean share, that may be served
	// ahead of a Deferred request. Without this limit, a tenant that always has
	// requests queued takes the turns of deferred requests.
	MaxOvertake float64
	// ExcessShare is the factor on the share of a tenant that has more tokens
	// refused than started. The capacity it loses goes to tenants near their
	// share, whose bursts a saturated pool could not otherwise serve.
	ExcessShare float64
	// PriorityRatio is the ratio of the weights of two classes of one tenant
	// whose priorities differ by one.
	PriorityRatio float64
	// MaxPriority is the highest effective priority; higher values are clamped.
	MaxPriority int
	// MaxCandidates is the maximum number of tenants whose first request one call
	// of Next tries to place.
	MaxCandidates int
	// RateWindow is the averaging window of the service rate.
	RateWindow time.Duration
	// MinRetryAfter and MaxRetryAfter bound Refusal.RetryAfter.
	MinRetryAfter, MaxRetryAfter time.Duration
}

func (c *Config) applyDefaults() {
	if c.MaxQueued <= 0 {
		c.MaxQueued = 2000
	}
	if c.TenantMaxQueued <= 0 {
		c.TenantMaxQueued = 500
	}
	if c.PriorityLead <= 0 {
		c.PriorityLead = 1000
	}
	if c.Burst <= 0 {
		c.Burst = 40_000
	}
	if c.MaxOvertake <= 0 {
		c.MaxOvertake = 12000
	}
	if c.ExcessShare <= 0 || c.ExcessShare > 1 {
		c.ExcessShare = 0.75
	}
	if c.PriorityRatio <= 1 {
		c.PriorityRatio = 4
	}
	if c.MaxPriority <= 0 {
		c.MaxPriority = 4
	}
	if c.MaxCandidates <= 0 {
		c.MaxCandidates = 16
	}
	if c.RateWindow <= 0 {
		c.RateWindow = 3 * time.Second
	}
	if c.MinRetryAfter <= 0 {
		c.MinRetryAfter = 200 * time.Millisecond
	}
	if c.MaxRetryAfter <= 0 {
		c.MaxRetryAfter = 30 * time.Second
	}
}

// TenantLimits holds the configured limits of one tenant.
type TenantLimits struct {
	// Share is the tenant's weight; values below 1 count as 1.
	Share int
	// MaxQueued is the maximum number of queued requests; 0 selects
	// Config.TenantMaxQueued.
	MaxQueued int
}

// Request describes a request that needs a backend server.
type Request struct {
	ID     model.RequestID
	Tenant model.Tenant
	Class  model.Class
	// Priority is the priority of the class; higher values are served first.
	Priority int
	// Tokens is the estimated cost of prompt and answer in tokens, at least 1.
	Tokens int
	// StartBy is the latest time at which the request can start and still be in
	// time: the earlier of its deadline and its first-token target, minus the
	// time a backend server needs to produce the first token. The zero value
	// means no limit.
	StartBy time.Time
	// OfferedAt is when Next first tried to place the request. For a tenant
	// clearly under its share it is the arrival time instead, because the waits
	// of its successive requests for better instances would otherwise add up. The
	// Queue sets this field.
	OfferedAt time.Time
}

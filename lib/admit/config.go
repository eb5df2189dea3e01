package admit

import (
	"time"

	"github.com/auburnbend/auburnbend/lib/model"
)

// Config holds the limits of a Queue. Zero fields take the defaults.
type Config struct {
	// MaxQueued bounds the requests that wait in the queue.
	MaxQueued int
	// TenantMaxQueued bounds the requests of a tenant that declares no bound.
	TenantMaxQueued int
	// PriorityLead is how many tokens of service a request of a tenant with a
	// mean share may go ahead of other tenants' requests per step of priority.
	// It is a bounded advantage, so no class starves.
	PriorityLead float64
	// Burst is how many tokens of its share a tenant with a mean share keeps
	// while it sends nothing. Without it, a tenant that sends its share on
	// average loses what its pauses leave to a tenant that always has requests
	// waiting, and its bursts are refused.
	Burst float64
	// MaxOvertake is how many tokens of a mean share may be served ahead of a
	// request that waits for a better place. Without the bound, a tenant that
	// always has requests waiting takes the turns of those that wait.
	MaxOvertake float64
	// ExcessShare is the part of its share that a tenant gets while more of its
	// tokens are refused than started. What it cedes goes to tenants about at
	// their share, whose bursts a saturated pool could not take otherwise.
	ExcessShare float64
	// PriorityRatio is the ratio between the weights of two classes of one
	// tenant that are one step of priority apart.
	PriorityRatio float64
	// MaxPriority bounds the priority steps that count.
	MaxPriority int
	// MaxCandidates bounds the tenants whose first request Next offers for placing
	// before it gives up.
	MaxCandidates int
	// RateWindow is the time over which the rate of service is averaged.
	RateWindow time.Duration
	// MinRetryAfter and MaxRetryAfter bound the advice in refusals.
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

// TenantLimits is what is declared for one tenant.
type TenantLimits struct {
	// Share is the tenant's weight, at least 1.
	Share int
	// MaxQueued bounds the tenant's waiting requests; 0 takes the default.
	MaxQueued int
}

// Request is one request that waits for a backend server.
type Request struct {
	ID     model.RequestID
	Tenant model.Tenant
	Class  model.Class
	// Priority is that of the class; higher goes first.
	Priority int
	// Tokens is the estimated cost, prompt and answer, at least 1.
	Tokens int
	// StartBy is when the request must start at the latest to be in time: the
	// earlier of its deadline and its target for the first token, less the time
	// that a backend server needs for it. Zero means that it waits for ever.
	StartBy time.Time
	// OfferedAt is when Next first offered the request for placing or, for a
	// tenant clearly under its share, when the request arrived: its requests
	// wait for a better place one after the other, and the waits would add up.
	// The Queue sets it.
	OfferedAt time.Time
}

package rollout

import (
	"time"

	"github.com/auburnbend/auburnbend/lib/model"
)

// Config configures a Coordinator. Zero and invalid values are replaced by
// defaults.
type Config struct {
	// MaxUtilization is the fraction of the remaining instances' capacity that
	// the load may use, greater than 0 and at most 1.
	MaxUtilization float64
	// PermitTTL is the lifetime of a permit. An instance renews its permit
	// while it loads; the permit of an instance that died becomes available
	// after this time.
	PermitTTL time.Duration
	// RetryInterval is the time after which a refused instance should ask
	// again.
	RetryInterval time.Duration
	// MaxWaveShare is the maximum fraction of the live instances in one wave,
	// greater than 0 and at most 1. One instance is always allowed.
	MaxWaveShare float64
}

func (c *Config) applyDefaults() {
	if c.MaxUtilization <= 0 || c.MaxUtilization > 1 {
		c.MaxUtilization = 0.8
	}
	if c.PermitTTL <= 0 {
		c.PermitTTL = 30 * time.Second
	}
	if c.RetryInterval <= 0 {
		c.RetryInterval = time.Second
	}
	if c.MaxWaveShare <= 0 || c.MaxWaveShare > 1 {
		c.MaxWaveShare = 0.5
	}
}

// heldPermit is a permit in force.
type heldPermit struct {
	Permit
	stopped bool // the instance has stopped serving
}

// Coordinator issues permits for one failure domain and pool. It is not safe
// for concurrent use.
type Coordinator struct {
	cfg        Config
	lastNumber uint64
	permits    map[model.InstanceID]*heldPermit
}

// New returns a Coordinator without permits. Permit numbers start above first,
// which the caller draws at random so that they differ from the numbers of an
// earlier process.
func New(cfg Config, first uint64) *Coordinator {
	cfg.applyDefaults()
	return &Coordinator{cfg: cfg, lastNumber: first, permits: make(map[model.InstanceID]*heldPermit)}
}

// Request grants a permit to a live instance, renews the one that it holds, or
// returns the reason for a refusal. state must be current. A refused instance
// should ask again after RetryInterval.
func (c *Coordinator) Request(now time.Time, instance model.InstanceID, state PoolState) (Permit, Reason) {
	c.expirePermits(now)
	if h, ok := c.permits[instance]; ok {
		h.Expires = now.Add(c.cfg.PermitTTL)
		return h.Permit, ReasonNone
	}
	// Instances with a permit that still count as live are about to stop.
	leaving := 0
	for _, h := range c.permits {
		if !h.stopped {
			leaving++
		}
	}
	live := state.Live - leaving
	switch {
	case live-1 < state.MinLive:
		return Permit{}, c.refusalReason(ReasonMinLive)
	case live-1 < state.requiredLive(c.cfg.MaxUtilization):
		return Permit{}, c.refusalReason(ReasonLoad)
	case len(c.permits) >= max(1, int(c.cfg.MaxWaveShare*float64(state.Live+len(c.permits)-leaving))):
		return Permit{}, ReasonWave
	}
	c.lastNumber++
	h := &heldPermit{Permit: Permit{Number: c.lastNumber, Instance: instance, Expires: now.Add(c.cfg.PermitTTL)}}
	c.permits[instance] = h
	return h.Permit, ReasonNone
}

// refusalReason returns ReasonWave if permits are in force, since the refusal
// may then end with the current wave, and otherwise the given lasting reason.
func (c *Coordinator) refusalReason(lasting Reason) Reason {
	if len(c.permits) > 0 {
		return ReasonWave
	}
	return lasting
}

// MarkStopped records that an instance with a permit has stopped serving, so
// that it is no longer part of PoolState.Live, and renews the permit.
func (c *Coordinator) MarkStopped(now time.Time, instance model.InstanceID) {
	c.expirePermits(now)
	if h, ok := c.permits[instance]; ok {
		h.stopped = true
		h.Expires = now.Add(c.cfg.PermitTTL)
	}
}

// Release ends the permit of an instance that serves again or failed to load.
func (c *Coordinator) Release(instance model.InstanceID) { delete(c.permits, instance) }

// ActivePermits returns the number of permits in force.
func (c *Coordinator) ActivePermits(now time.Time) int {
	c.expirePermits(now)
	return len(c.permits)
}

// RetryInterval returns the time after which a refused instance should ask
// again.
func (c *Coordinator) RetryInterval() time.Duration { return c.cfg.RetryInterval }

// expirePermits removes permits that were not renewed. An instance whose permit
// expired before it stopped must ask again; one that had stopped is already
// excluded from Live.
func (c *Coordinator) expirePermits(now time.Time) {
	for instance, h := range c.permits {
		if !now.Before(h.Expires) {
			delete(c.permits, instance)
		}
	}
}

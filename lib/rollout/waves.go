package rollout

import (
	"time"

	"github.com/auburnbend/auburnbend/lib/model"
)

// Config holds the settings of Waves. Zero values get defaults.
type Config struct {
	// MaxUtilization is the part of the capacity of the remaining instances that
	// the load may take, over 0 and up to 1.
	MaxUtilization float64
	// PermitTTL is the lifetime of a permit. An instance renews it while it loads;
	// one that dies gives its place back after this time.
	PermitTTL time.Duration
	// RetryInterval is the time after which a refused instance asks again.
	RetryInterval time.Duration
	// MaxWaveShare is the largest part of the live instances that one wave takes.
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

// held is a permit and whether its instance has stopped serving.
type held struct {
	Permit
	left bool
}

// Coordinator gives permits for one failure domain and pool.
type Coordinator struct {
	cfg     Config
	last    uint64
	permits map[model.InstanceID]*held
}

// New returns Waves without permits. Permit numbers start above first, which
// the caller draws at random so that numbers of an earlier process differ.
func New(cfg Config, first uint64) *Coordinator {
	cfg.applyDefaults()
	return &Coordinator{cfg: cfg, last: first, permits: make(map[model.InstanceID]*held)}
}

// Request asks for a permit for a live instance, or renews its permit. The
// group is the state right now; refused requests come again after Retry.
func (w *Coordinator) Request(now time.Time, instance model.InstanceID, g PoolState) (Permit, Reason) {
	w.expire(now)
	if h, ok := w.permits[instance]; ok {
		h.Expires = now.Add(w.cfg.PermitTTL)
		return h.Permit, ReasonNone
	}
	// Instances with a permit that are still counted as live are about to leave.
	leaving := 0
	for _, h := range w.permits {
		if !h.left {
			leaving++
		}
	}
	live := g.Live - leaving
	switch {
	case live-1 < g.MinLive:
		return Permit{}, w.reason(ReasonMinLive)
	case live-1 < g.needed(w.cfg.MaxUtilization):
		return Permit{}, w.reason(ReasonLoad)
	case len(w.permits) >= max(1, int(w.cfg.MaxWaveShare*float64(g.Live+len(w.permits)-leaving))):
		return Permit{}, ReasonWave
	}
	w.last++
	h := &held{Permit: Permit{Number: w.last, Instance: instance, Expires: now.Add(w.cfg.PermitTTL)}}
	w.permits[instance] = h
	return h.Permit, ReasonNone
}

// reason tells a refusal that ends with the current wave from a lasting one.
func (w *Coordinator) reason(lasting Reason) Reason {
	if len(w.permits) > 0 {
		return ReasonWave
	}
	return lasting
}

// MarkStopped says that an instance with a permit has stopped serving: it is not
// counted as live any more. It renews the permit.
func (w *Coordinator) MarkStopped(now time.Time, instance model.InstanceID) {
	w.expire(now)
	if h, ok := w.permits[instance]; ok {
		h.left = true
		h.Expires = now.Add(w.cfg.PermitTTL)
	}
}

// Release says that an instance serves again, or is gone for good, and ends
// its permit.
func (w *Coordinator) Release(instance model.InstanceID) { delete(w.permits, instance) }

// ActivePermits returns the number of permits in force.
func (w *Coordinator) ActivePermits(now time.Time) int {
	w.expire(now)
	return len(w.permits)
}

// RetryInterval is the time after which a refused instance asks again.
func (w *Coordinator) RetryInterval() time.Duration { return w.cfg.RetryInterval }

// expire ends permits that were not renewed. An instance whose permit expired
// before it left asks again; one that has left is already missing from Live.
func (w *Coordinator) expire(now time.Time) {
	for instance, h := range w.permits {
		if !now.Before(h.Expires) {
			delete(w.permits, instance)
		}
	}
}

// Package instances is a stand-in for the platform's instance list.
package instances

import (
	"context"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/auburnbend/auburnbend/lib/backing"
	"github.com/auburnbend/auburnbend/lib/clock"
	"github.com/auburnbend/auburnbend/lib/model"
	"github.com/auburnbend/auburnbend/standin/fault"
)

// Config configures a List.
type Config struct {
	// Lag is the time until a change becomes visible.
	Lag time.Duration
	// Clock is the clock for Lag. It defaults to the system clock.
	Clock clock.Clock
}

func (c *Config) applyDefaults() {
	if c.Clock == nil {
		c.Clock = clock.System{}
	}
}

// change adds, replaces or removes one instance.
type change struct {
	at       time.Time
	instance backing.Instance
	removed  bool
}

// List implements backing.InstanceList. It is safe for concurrent use.
type List struct {
	// Faults injects faults into the list.
	Faults fault.Injector

	cfg Config

	// mu protects the fields below.
	mu sync.Mutex
	// pendingChanges are the changes that are not yet visible, the oldest first.
	pendingChanges []change
	// ids contains the IDs of all instances that have ever been visible, in the order
	// in which they first appeared.
	ids     []model.InstanceID
	visible map[model.InstanceID]backing.Instance
}

// New returns an empty list.
func New(cfg Config) *List {
	cfg.applyDefaults()
	return &List{cfg: cfg, visible: make(map[model.InstanceID]backing.Instance)}
}

// Set adds or replaces an instance, which becomes visible after the lag.
func (l *List) Set(instance backing.Instance) { l.queueChange(change{instance: instance}) }

// Remove removes an instance after the lag.
func (l *List) Remove(id model.InstanceID) {
	l.queueChange(change{instance: backing.Instance{ID: id}, removed: true})
}

// List implements backing.InstanceList.
func (l *List) List(ctx context.Context) ([]backing.Instance, error) {
	down, err := l.Faults.BeforeCall(ctx)
	if down || err != nil {
		return nil, merry.Wrap(backing.ErrUnavailable, merry.WithCause(err))
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.applyDueChanges()
	instances := make([]backing.Instance, 0, len(l.visible))
	for _, id := range l.ids {
		if instance, ok := l.visible[id]; ok {
			instances = append(instances, instance)
		}
	}
	return instances, nil
}

func (l *List) queueChange(c change) {
	l.mu.Lock()
	defer l.mu.Unlock()
	c.at = l.cfg.Clock.Now()
	l.pendingChanges = append(l.pendingChanges, c)
}

// applyDueChanges makes changes visible whose lag has passed. The caller must hold l.mu.
func (l *List) applyDueChanges() {
	now := l.cfg.Clock.Now()
	for len(l.pendingChanges) > 0 && now.Sub(l.pendingChanges[0].at) >= l.cfg.Lag {
		c := l.pendingChanges[0]
		l.pendingChanges = l.pendingChanges[1:]
		if c.removed {
			delete(l.visible, c.instance.ID)
			continue
		}
		if !l.hasID(c.instance.ID) {
			l.ids = append(l.ids, c.instance.ID)
		}
		l.visible[c.instance.ID] = c.instance
	}
}

func (l *List) hasID(id model.InstanceID) bool {
	for _, existing := range l.ids {
		if existing == id {
			return true
		}
	}
	return false
}

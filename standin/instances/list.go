// Package instances is the stand-in of the platform's list of instances.
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

// Config holds the behaviour of a List.
type Config struct {
	// Lag is the time after which a change is shown.
	Lag time.Duration
	// Clock is used for the lag.
	Clock clock.Clock
}

func (c *Config) applyDefaults() {
	if c.Clock == nil {
		c.Clock = clock.System{}
	}
}

// change is one instance set or removed.
type change struct {
	at       time.Time
	instance backing.Instance
	removed  bool
}

// List implements backing.InstanceList. It is safe for concurrent use.
type List struct {
	// Faults are the fault switches of the list.
	Faults fault.Switch

	cfg     Config
	mu      sync.Mutex
	pending []change
	order   []model.InstanceID
	shown   map[model.InstanceID]backing.Instance
}

// New returns an empty list.
func New(cfg Config) *List {
	cfg.applyDefaults()
	return &List{cfg: cfg, shown: make(map[model.InstanceID]backing.Instance)}
}

// Set adds or replaces an instance; List shows it after the lag.
func (l *List) Set(instance backing.Instance) { l.add(change{instance: instance}) }

// Remove takes an instance off the list after the lag.
func (l *List) Remove(id model.InstanceID) {
	l.add(change{instance: backing.Instance{ID: id}, removed: true})
}

// List implements backing.InstanceList.
func (l *List) List(ctx context.Context) ([]backing.Instance, error) {
	down, err := l.Faults.Enter(ctx)
	if down || err != nil {
		return nil, merry.Wrap(backing.ErrUnavailable, merry.WithCause(err))
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.show()
	listed := make([]backing.Instance, 0, len(l.shown))
	for _, id := range l.order {
		if instance, ok := l.shown[id]; ok {
			listed = append(listed, instance)
		}
	}
	return listed, nil
}

func (l *List) add(c change) {
	l.mu.Lock()
	defer l.mu.Unlock()
	c.at = l.cfg.Clock.Now()
	l.pending = append(l.pending, c)
}

// show applies the changes that are older than the lag.
func (l *List) show() {
	now := l.cfg.Clock.Now()
	for len(l.pending) > 0 && now.Sub(l.pending[0].at) >= l.cfg.Lag {
		c := l.pending[0]
		l.pending = l.pending[1:]
		if c.removed {
			delete(l.shown, c.instance.ID)
			continue
		}
		if !l.known(c.instance.ID) {
			l.order = append(l.order, c.instance.ID)
		}
		l.shown[c.instance.ID] = c.instance
	}
}

func (l *List) known(id model.InstanceID) bool {
	for _, existing := range l.order {
		if existing == id {
			return true
		}
	}
	return false
}

package catchup

import (
	"context"
	"sync"
	"time"

	"github.com/auburnbend/auburnbend/internal/node"
	"github.com/auburnbend/auburnbend/lib/serving"
	"github.com/auburnbend/auburnbend/lib/watch"
	"github.com/auburnbend/auburnbend/platform"
)

// entry follows the operator's table as the entries do, without a gateway.
type entry struct {
	mu      sync.Mutex
	version int64
	applied int
	// inForce receives a value when the version wanted is in force.
	wanted  int64
	inForce chan struct{}
}

var _ platform.OperatorSink = (*entry)(nil)

// follow follows the table until ctx ends.
func (e *entry) follow(ctx context.Context, store string, bound time.Duration) {
	source := platform.NewStore(store).Table(platform.TableOperator)
	bounds := &platform.Bounds{ConfigTime: bound, StallTime: bound}
	watch.New(node.OperatorWatchConfig(bounds), source, &platform.OperatorWatch{Sink: e}).Run(ctx)
}

// expect returns a channel that receives a value when a version is in force, and restarts
// the count of versions.
func (e *entry) expect(version int64) <-chan struct{} {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.applied, e.wanted, e.inForce = 0, version, make(chan struct{}, 1)
	if e.version >= version {
		e.inForce <- struct{}{}
	}
	return e.inForce
}

func (e *entry) appliedCount() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.applied
}

// Config implements platform.OperatorSink.
func (e *entry) Config(c *serving.Config) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if c.Version <= e.version {
		return
	}
	e.version = c.Version
	e.applied++
	if e.inForce != nil && e.version == e.wanted {
		e.inForce <- struct{}{}
	}
}

// TargetVersion implements platform.OperatorSink.
func (e *entry) TargetVersion(platform.TargetVersion, bool) {}

// Evacuated implements platform.OperatorSink.
func (e *entry) Evacuated([]string) {}

// InvalidRow implements platform.OperatorSink.
func (e *entry) InvalidRow(watch.Row, error) {}

// StoreLost implements platform.OperatorSink.
func (e *entry) StoreLost(error) {}

// StoreRecovered implements platform.OperatorSink.
func (e *entry) StoreRecovered() {}

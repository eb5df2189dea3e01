package node

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/auburnbend/auburnbend/lib/eventlog"
	"github.com/auburnbend/auburnbend/lib/serving"
	"github.com/auburnbend/auburnbend/lib/watch"
	"github.com/auburnbend/auburnbend/peerlink"
	"github.com/auburnbend/auburnbend/platform"
	"github.com/auburnbend/auburnbend/replica"
)

const (
	// entryTimeout is how long an announcement of an entry replaces a read of the
	// store. Entries send one each second, and datagrams may be lost.
	entryTimeout = 3 * time.Second
	// firstEntryTimeout is the time that entries have for it after a start.
	firstEntryTimeout = time.Second
	// readInterval is the mean pause between two reads of the store while no entry
	// sends anything. Reads may be large, and all agents of a region share its
	// links.
	readInterval = 2 * time.Second
	// readTimeout bounds a whole read of the operator's table.
	readTimeout = 10 * time.Second
)

// replicaTargets learns what the engine of this instance must serve: from the
// entries, or from the store while none of them sends anything.
type replicaTargets struct {
	service string
	replica *replica.Replica
	source  watch.Source
	log     *eventlog.Logger
	// storeLost is set while reads of the store fail; it belongs to run.
	storeLost bool

	// mu guards what follows.
	mu sync.Mutex
	// config is the version of the configuration that named the origin.
	config int64
	origin *platform.Origin
	// pieceTime is the time that the origin's link takes for one piece.
	pieceTime time.Duration
	// model and version must serve.
	model   string
	version int
	// readAt is when the store is read unless an entry sends something before.
	readAt time.Time
}

var _ platform.OperatorSink = (*replicaTargets)(nil)

func (t *replicaTargets) currentOrigin() replica.Origin {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.origin == nil {
		return nil
	}
	return t.origin
}

func (t *replicaTargets) originTime() time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.pieceTime
}

// announced takes a target that an entry announces.
func (t *replicaTargets) announced(target *peerlink.Target) {
	t.mu.Lock()
	t.readAt = time.Now().Add(entryTimeout)
	t.mu.Unlock()
	t.take(target, "entry")
}

// take follows a target. Older configurations and versions change nothing.
func (t *replicaTargets) take(target *peerlink.Target, source string) {
	t.mu.Lock()
	if target.ConfigVersion < t.config && target.Model != t.model {
		t.mu.Unlock()
		return
	}
	if target.ConfigVersion >= t.config {
		t.config = target.ConfigVersion
		t.pieceTime = time.Duration(target.OriginPieceMicros) * time.Microsecond
		if t.origin == nil || t.origin.Address() != target.Origin {
			t.origin = platform.NewOrigin(target.Origin)
		}
	}
	if target.Model != t.model {
		t.model, t.version = target.Model, 0
	}
	newer := target.Version > t.version
	t.version = max(t.version, target.Version)
	t.mu.Unlock()
	if newer {
		t.log.Log(eventlog.VersionDeclared, "model", target.Model, "version", target.Version, "source", source, "config", target.ConfigVersion)
	}
	t.replica.SetTarget(target.Model, target.Version)
}

// run reads the store while no entry sends anything, until ctx ends.
func (t *replicaTargets) run(ctx context.Context) {
	t.mu.Lock()
	t.readAt = time.Now().Add(firstEntryTimeout)
	t.mu.Unlock()
	for ctx.Err() == nil {
		t.mu.Lock()
		pause := time.Until(t.readAt)
		t.mu.Unlock()
		if pause <= 0 {
			t.read(ctx)
			pause = readInterval/2 + rand.N(readInterval)
		}
		select {
		case <-ctx.Done():
		case <-time.After(pause):
		}
	}
}

func (t *replicaTargets) read(ctx context.Context) {
	readCtx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	rows, err := t.source.Snapshot(readCtx)
	if ctx.Err() != nil {
		return
	}
	handler := platform.OperatorWatch{Sink: t}
	if err != nil {
		if !t.storeLost {
			handler.Lost(err)
		}
		t.storeLost = true
		return
	}
	handler.Replace(rows, t.storeLost)
	t.storeLost = false
}

// Config implements platform.OperatorSink.
func (t *replicaTargets) Config(c *serving.Config) {
	for _, target := range c.WeightsTargets() {
		if target.Service == t.service {
			t.take(&peerlink.Target{
				ConfigVersion: c.Version, Model: target.Model, Version: serving.FirstVersion,
				Origin: target.Origin.Address, OriginPieceMicros: target.OriginPieceTime.Microseconds(),
			}, "store")
		}
	}
	t.log.Log(eventlog.LiveConfigApplied, "config", c.Version, "revision", c.Revision, "routes", len(c.Routes), "teams", len(c.Teams))
}

// TargetVersion implements platform.OperatorSink. Versions of models of other services
// do not concern the engine.
func (t *replicaTargets) TargetVersion(w platform.TargetVersion, _ bool) {
	t.mu.Lock()
	known, newer := t.model == w.Model, w.Version > t.version
	if known {
		t.version = max(t.version, w.Version)
	}
	t.mu.Unlock()
	if !known {
		return
	}
	if newer {
		t.log.Log(eventlog.VersionDeclared, "model", w.Model, "version", w.Version, "source", "store")
	}
	t.replica.SetTarget(w.Model, w.Version)
}

// InvalidRow implements platform.OperatorSink.
func (t *replicaTargets) InvalidRow(row watch.Row, err error) { logUnreadable(t.log, row, err) }

// StoreLost implements platform.OperatorSink.
func (t *replicaTargets) StoreLost(err error) { t.log.Log(eventlog.StoreLost, "err", err) }

// StoreRecovered implements platform.OperatorSink.
func (t *replicaTargets) StoreRecovered() { t.log.Log(eventlog.StoreRegained) }

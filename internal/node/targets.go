package node

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/auburnbend/auburnbend/lib/eventlog"
	"github.com/auburnbend/auburnbend/lib/pause"
	"github.com/auburnbend/auburnbend/lib/rowage"
	"github.com/auburnbend/auburnbend/lib/serving"
	"github.com/auburnbend/auburnbend/lib/watch"
	"github.com/auburnbend/auburnbend/peerlink"
	"github.com/auburnbend/auburnbend/platform"
	"github.com/auburnbend/auburnbend/replica"
)

const (
	// announcementTimeout is the time for which the store is not read after an
	// announcement from an entry. Entries send one announcement per second, and
	// datagrams may be lost.
	announcementTimeout = 3 * time.Second
	// firstAnnouncementTimeout is the time to wait for the first announcement after a
	// start.
	firstAnnouncementTimeout = time.Second
	// storeReadInterval is the mean time between two reads of the store while no
	// announcements arrive. Reads may be large, and all agents of a region share its
	// links.
	storeReadInterval = 2 * time.Second
	// storeReadTimeout limits one read of the whole operator's table.
	storeReadTimeout = 10 * time.Second
)

// targetTracker determines which version of the weights the engine of this instance
// must serve. It learns that from the announcements of entries, or from the store while
// none arrive. It is safe for concurrent use.
type targetTracker struct {
	service string
	replica *replica.Replica
	source  watch.Source
	log     *eventlog.Logger
	// ages bounds the age of the rows of source, and pauses that of announcements.
	ages   *rowage.Tracker
	pauses *pause.Monitor
	// storeUnavailable is true while reads of the store fail, watch decodes the reads, and
	// position is the state of the newest one. Only run uses them.
	storeUnavailable bool
	position         watch.Position
	watch            platform.OperatorWatch

	// mu guards the fields below.
	mu sync.Mutex
	// configVersion is the version of the configuration that origin comes from.
	configVersion int64
	origin        *platform.Origin
	// originPieceDuration is the transfer time of one piece over the origin's link.
	originPieceDuration time.Duration
	// layers and pieces are the numbers of layers and pieces of the model, or zero if they
	// are unknown.
	layers, pieces int
	// model and version are what the engine must serve; version is 0 if unknown.
	model   string
	version int
	// nextRead is when the store is read unless an announcement arrives before.
	nextRead time.Time
}

var _ platform.OperatorSink = (*targetTracker)(nil)

func (t *targetTracker) currentOrigin() replica.Origin {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.origin == nil {
		return nil
	}
	return t.origin
}

func (t *targetTracker) originPieceTime() time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.originPieceDuration
}

func (t *targetTracker) modelPieces() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.pieces
}

func (t *targetTracker) modelLayers() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.layers
}

// handleAnnouncement applies a target that an entry has announced and postpones the
// next read of the store.
func (t *targetTracker) handleAnnouncement(target *peerlink.Target) {
	t.mu.Lock()
	t.nextRead = time.Now().Add(announcementTimeout)
	t.mu.Unlock()
	// It may have been sent before this process was frozen.
	delay := t.pauses.Now().Sub(t.pauses.Arrival())
	t.applyTarget(target, time.Duration(target.AgeMillis)*time.Millisecond+delay, "entry")
}

// applyTarget passes a target that was declared maxAge ago at the earliest to the replica. An older configuration does not change
// the model or the origin, and an older version does not replace a newer one. source
// is logged.
func (t *targetTracker) applyTarget(target *peerlink.Target, maxAge time.Duration, source string) {
	t.mu.Lock()
	if target.ConfigVersion < t.configVersion && target.Model != t.model {
		t.mu.Unlock()
		return
	}
	if target.ConfigVersion >= t.configVersion {
		t.configVersion = target.ConfigVersion
		t.originPieceDuration = time.Duration(target.OriginPieceMicros) * time.Microsecond
		if target.Layers > 0 || target.Model != t.model {
			t.layers = target.Layers
		}
		if target.Pieces > 0 || target.Model != t.model {
			t.pieces = target.Pieces
		}
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
	t.replica.SetTargetAged(target.Model, target.Version, maxAge)
}

// run reads the store while no announcements arrive, until ctx ends.
func (t *targetTracker) run(ctx context.Context) {
	t.mu.Lock()
	t.nextRead = time.Now().Add(firstAnnouncementTimeout)
	t.mu.Unlock()
	for ctx.Err() == nil {
		t.mu.Lock()
		delay := time.Until(t.nextRead)
		t.mu.Unlock()
		if delay <= 0 {
			t.readStore(ctx)
			delay = storeReadInterval/2 + rand.N(storeReadInterval)
		}
		select {
		case <-ctx.Done():
		case <-time.After(delay):
		}
	}
}

func (t *targetTracker) readStore(ctx context.Context) {
	readCtx, cancel := context.WithTimeout(ctx, storeReadTimeout)
	defer cancel()
	callCtx, call := t.ages.Begin(readCtx)
	rows, err := t.source.Snapshot(callCtx)
	if ctx.Err() != nil {
		return
	}
	t.watch.Sink = t
	if err != nil {
		if !t.storeUnavailable {
			t.watch.Lost(err)
		}
		t.storeUnavailable = true
		return
	}
	known := t.position
	if rows.Position().Compare(known) < 0 {
		// A lagging store tells nothing new.
		return
	}
	if rows.Era > known.Era && known.Revision > 0 {
		logPositions(t.log, eventlog.StoreRestored, platform.TableOperator, known, rows.Position())
	}
	t.position = rows.Position()
	t.ages.Read(&rows, call)
	t.watch.Replace(rows, t.storeUnavailable)
	t.storeUnavailable = false
}

// Config implements platform.OperatorSink.
func (t *targetTracker) Config(c *serving.Config) {
	for _, target := range c.WeightsTargets() {
		if target.Service == t.service {
			t.applyTarget(&peerlink.Target{
				ConfigVersion: c.Version, Model: target.Model, Version: serving.FirstVersion,
				Origin: target.Origin.Address, OriginPieceMicros: target.OriginPieceTime.Microseconds(), Layers: target.Layers, Pieces: target.Pieces,
			}, t.replica.MaxRolloutTime(), "store")
		}
	}
	logLiveConfig(t.log, c)
}

// TargetVersion implements platform.OperatorSink. Versions of models that the engine
// does not serve are ignored.
func (t *targetTracker) TargetVersion(v platform.TargetVersion, _ bool) {
	t.mu.Lock()
	known, newer := t.model == v.Model, v.Version > t.version
	if known {
		t.version = max(t.version, v.Version)
	}
	t.mu.Unlock()
	if !known {
		return
	}
	if newer {
		t.log.Log(eventlog.VersionDeclared, "model", v.Model, "version", v.Version, "source", "store")
	}
	age := t.replica.MaxRolloutTime()
	if !v.DeclaredAfter.IsZero() {
		age = t.pauses.Now().Sub(v.DeclaredAfter)
	}
	t.replica.SetTargetAged(v.Model, v.Version, age)
}

// Evacuated implements platform.OperatorSink. Engines of an evacuated failure domain get
// no requests, but still load the versions that they must serve afterwards.
func (t *targetTracker) Evacuated([]string) {}

// InvalidRow implements platform.OperatorSink.
func (t *targetTracker) InvalidRow(row watch.Row, err error) { logInvalidRow(t.log, row, err) }

// StoreLost implements platform.OperatorSink.
func (t *targetTracker) StoreLost(err error) { t.log.Log(eventlog.StoreLost, "err", err) }

// StoreRecovered implements platform.OperatorSink.
func (t *targetTracker) StoreRecovered() { t.log.Log(eventlog.StoreRegained) }

package agent

import (
	"context"
	"time"

	"github.com/auburnbend/auburnbend/agent/cachefeed"
	"github.com/auburnbend/auburnbend/lib/engine"
)

// cacheReader reads what an engine says about its prefix cache; *engine.Client
// is one.
type cacheReader interface {
	CacheEvents(ctx context.Context, after uint64) (engine.CacheEventBatch, error)
	Cache(ctx context.Context) (engine.CacheSnapshot, error)
}

// followCache passes the engine's cache events on to entries until ctx ends.
func (a *Agent) followCache(ctx context.Context) {
	feed := &cachefeed.Feed{}
	ticker := time.NewTicker(a.cfg.CacheInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		a.readCache(ctx, feed)
		// The update comes first, so that a snapshot includes it.
		update := feed.NextUpdate()
		a.sessions.sendCache(update, feed.Snapshot())
	}
}

// readCache brings the feed up to date. An engine that does not answer is asked
// again at the next tick.
func (a *Agent) readCache(ctx context.Context, feed *cachefeed.Feed) {
	batch, err := a.cache.CacheEvents(ctx, feed.After())
	if err != nil || !feed.Accept(batch) {
		return
	}
	if snapshot, err := a.cache.Cache(ctx); err == nil {
		feed.Reset(snapshot)
	}
}

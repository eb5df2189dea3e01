package agent

import (
	"context"
	"time"

	"github.com/auburnbend/auburnbend/agent/cachefeed"
	"github.com/auburnbend/auburnbend/lib/engine"
)

// cacheReader reads the contents of an engine's prefix cache and the changes to it.
// *engine.Client implements it.
type cacheReader interface {
	CacheEvents(ctx context.Context, after uint64) (engine.CacheEventBatch, error)
	Cache(ctx context.Context) (engine.CacheSnapshot, error)
}

// forwardCacheEvents sends the engine's cache events to entries until ctx ends.
func (a *Agent) forwardCacheEvents(ctx context.Context) {
	feed := &cachefeed.Feed{}
	ticker := time.NewTicker(a.cfg.CacheInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		a.refreshCacheFeed(ctx, feed)
		// The snapshot must be taken after the update, so that it includes the update.
		update := feed.NextUpdate()
		a.sessions.sendCache(update, feed.Snapshot())
	}
}

// refreshCacheFeed applies the engine's new cache events to feed. If the engine does
// not respond, the next tick tries again.
func (a *Agent) refreshCacheFeed(ctx context.Context, feed *cachefeed.Feed) {
	batch, err := a.cache.CacheEvents(ctx, feed.After())
	if err != nil || !feed.Accept(batch) {
		return
	}
	if snapshot, err := a.cache.Cache(ctx); err == nil {
		feed.Reset(snapshot)
	}
}

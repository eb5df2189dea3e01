package transfer

import (
	"context"
	"time"

	"github.com/auburnbend/auburnbend/lib/model"
	"github.com/auburnbend/auburnbend/lib/weights"
	"github.com/auburnbend/auburnbend/lib/wire"
)

// seed offers the chunks of a version that is no longer the target, so that
// agents that are still fetching it keep a source.
type seed struct {
	digest model.Digest
	cancel context.CancelFunc
}

// addSeed starts a seed for a version and stops the oldest one if there are more
// than MaxSeeds.
func (r *runner) addSeed(t *target) {
	ctx, cancel := context.WithCancel(r.service.ctx)
	r.seeds = append(r.seeds, &seed{digest: t.digest, cancel: cancel})
	if len(r.seeds) > r.service.cfg.MaxSeeds {
		r.seeds[0].cancel()
		r.seeds = r.seeds[1:]
	}
	events := make(chan linkEvent)
	l := r.service.newTrackerLink(t.digest, events)
	r.service.wg.Add(1)
	go func() {
		defer r.service.wg.Done()
		defer l.cancel()
		r.service.announceSeed(ctx, t, events)
	}()
}

// dropSeed stops the seed of a version, if any.
func (r *runner) dropSeed(digest model.Digest) {
	for i, sd := range r.seeds {
		if sd.digest == digest {
			sd.cancel()
			r.seeds = append(r.seeds[:i], r.seeds[i+1:]...)
			return
		}
	}
}

// announceSeed announces the held chunks of a version every second until ctx
// ends.
func (s *Service) announceSeed(ctx context.Context, t *target, events <-chan linkEvent) {
	ticker := time.NewTicker(time.Second)
	defer ticker.Stop()
	var conn *wire.Conn
	for {
		select {
		case <-ctx.Done():
			return
		case e := <-events:
			if m, ok := e.message.(*wire.ManifestFetch); ok {
				_ = e.conn.TrySend(s.manifestReply(m.Manifest))
			}
			if e.message != nil {
				continue // replies to announcements must not trigger another one
			}
			conn = e.conn
		case <-ticker.C:
		}
		if conn != nil {
			_ = conn.TrySend(&wire.Announce{Manifest: t.digest, Sequence: 1, ChunkBitmap: s.cfg.Chunks.Have(t.parsed.manifest)})
		}
	}
}

// retainChunks makes the store keep the chunks of a manifest and of the
// versions passed to Retain. It drops all partial chunks.
func (s *Service) retainChunks(m *weights.Manifest) {
	s.mu.Lock()
	keep := []*weights.Manifest{m}
	for _, digest := range s.retained {
		if k, ok := s.manifests[digest]; ok {
			keep = append(keep, k.manifest)
		}
	}
	s.mu.Unlock()
	s.cfg.Chunks.SetRetained(keep...)
	s.partials.clear()
}

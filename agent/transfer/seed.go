package transfer

import (
	"context"
	"time"

	"github.com/auburnbend/auburnbend/lib/model"
	"github.com/auburnbend/auburnbend/lib/weights"
	"github.com/auburnbend/auburnbend/lib/wire"
)

// seed offers the chunks of a version that is no longer the wanted one, so that
// agents that still fetch it keep a source.
type seed struct {
	digest model.Digest
	cancel context.CancelFunc
}

func (r *runner) addSeed(t *target) {
	ctx, cancel := context.WithCancel(r.s.ctx)
	r.seeds = append(r.seeds, &seed{digest: t.digest, cancel: cancel})
	if len(r.seeds) > r.s.cfg.MaxSeeds {
		r.seeds[0].cancel()
		r.seeds = r.seeds[1:]
	}
	events := make(chan linkEvent)
	l := r.s.newLink(t.digest, events)
	r.s.wg.Add(1)
	go func() {
		defer r.s.wg.Done()
		defer l.cancel()
		r.s.offer(ctx, t, events)
	}()
}

func (r *runner) dropSeed(digest model.Digest) {
	for i, sd := range r.seeds {
		if sd.digest == digest {
			sd.cancel()
			r.seeds = append(r.seeds[:i], r.seeds[i+1:]...)
			return
		}
	}
}

// offer announces what is held of a version, once a second.
func (s *Service) offer(ctx context.Context, t *target, events <-chan linkEvent) {
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
				continue // an acknowledgement must not cause an announcement
			}
			conn = e.conn
		case <-ticker.C:
		}
		if conn != nil {
			_ = conn.TrySend(&wire.Announce{Manifest: t.digest, Sequence: 1, Have: s.cfg.Chunks.Have(t.known.manifest)})
		}
	}
}

// wanted tells the store which versions to keep.
func (s *Service) wanted(m *weights.Manifest) {
	s.mu.Lock()
	keep := []*weights.Manifest{m}
	for _, digest := range s.keep {
		if k, ok := s.manifests[digest]; ok {
			keep = append(keep, k.manifest)
		}
	}
	s.mu.Unlock()
	s.cfg.Chunks.SetRetained(keep...)
	s.partials.clear()
}

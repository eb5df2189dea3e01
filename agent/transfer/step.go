package transfer

import (
	"context"

	"github.com/auburnbend/auburnbend/lib/distribute"
	"github.com/auburnbend/auburnbend/lib/eventlog"
	"github.com/auburnbend/auburnbend/lib/wire"
)

// step does what the Downloader decides.
func (r *runner) step() {
	if r.target == nil {
		return
	}
	now := r.s.cfg.Clock.Now()
	a := r.d.Next(now)
	for _, id := range a.Cancel {
		r.cancel(id)
	}
	for _, source := range a.StalledSources {
		r.s.cfg.Log.Log(eventlog.TransferStalled, "source", source)
	}
	for _, f := range a.Start {
		r.start(f)
	}
	for _, address := range a.QueryPeers {
		r.s.askPeer(address, r.target.digest, r.bitmaps)
	}
	if a.Announce != nil && r.conn != nil {
		a.Announce.Uploads = len(r.s.slots)
		_ = r.conn.TrySend(a.Announce) // repeated by the heartbeat
	}
	r.s.counters.chunks.Store(int64(len(r.target.known.manifest.Chunks)))
	r.s.counters.held.Store(int64(len(r.target.known.manifest.Chunks) - r.d.Missing()))
	if r.conn != nil && r.d.TrackerSilence(now) > r.s.cfg.TrackerTimeout/2 {
		// Announcements are repeated several times a second and answered. The path
		// may still carry what the tracker sends.
		_ = r.conn.Close()
	}
	if now.Sub(r.reported) >= reportEvery {
		r.report(&wire.TransferStatus{Manifest: r.target.digest, Phase: r.phase})
	}
	if a.Done && !r.complete && !r.checking {
		r.checking = true
		t := r.target
		r.s.wg.Add(1)
		go func() {
			defer r.s.wg.Done()
			c := check{target: t, err: r.s.cfg.Chunks.Verify(t.known.manifest)}
			select {
			case r.checked <- c:
			case <-r.s.ctx.Done():
			}
		}()
	}
}

// verified takes the result of the check of the whole set. Damaged chunks were
// dropped by the store and are fetched again.
func (r *runner) verified(c check) {
	if c.target != r.target {
		return // of an earlier version
	}
	r.checking = false
	if c.err != nil {
		r.s.cfg.Log.Log(eventlog.ChunkCorrupt, "manifest", r.target.digest.Short(), "err", c.err)
		r.d.SetTarget(r.s.cfg.Clock.Now(), r.target.digest, r.target.known.manifest, r.s.cfg.Chunks.Have(r.target.known.manifest))
		return
	}
	r.complete = true
	r.phase = wire.PhaseVerified
	r.report(&wire.TransferStatus{Manifest: r.target.digest, Phase: r.phase})
	r.s.cfg.Log.Log(eventlog.VersionVerified, "manifest", r.target.digest.Short())
	r.target.result <- nil
}

func (r *runner) report(m *wire.TransferStatus) {
	if r.target == nil || m.Manifest != r.target.digest {
		return
	}
	// Without a tracker the phase is told with the next report.
	r.phase = m.Phase
	if r.conn == nil {
		return
	}
	r.reported = r.s.cfg.Clock.Now()
	p := r.s.counters.progress()
	m.OriginBytes, m.PeerBytes, m.TotalBytes = p.OriginBytes-r.before.OriginBytes, p.PeerBytes-r.before.PeerBytes, r.target.known.manifest.TotalSize()
	_ = r.conn.TrySend(m)
}

func (r *runner) start(f distribute.Fetch) {
	ctx, cancel := context.WithCancel(r.s.ctx)
	w := &worker{s: r.s, fetch: f, cancel: cancel}
	r.workers[f.ID] = w
	r.s.wg.Add(1)
	go func() {
		defer r.s.wg.Done()
		defer cancel()
		res := w.run(ctx)
		select {
		case r.results <- res:
		case <-r.s.ctx.Done():
		}
	}()
}

func (r *runner) cancel(id uint64) {
	if w, ok := r.workers[id]; ok {
		w.cancel()
	}
}

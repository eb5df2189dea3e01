package transfer

import (
	"context"

	"github.com/auburnbend/auburnbend/lib/distribute"
	"github.com/auburnbend/auburnbend/lib/eventlog"
	"github.com/auburnbend/auburnbend/lib/wire"
)

// applyActions executes the actions of the Downloader, reports progress and
// starts the final verification once all chunks are held.
func (r *runner) applyActions() {
	if r.target == nil {
		return
	}
	now := r.service.cfg.Clock.Now()
	a := r.downloader.Next(now)
	for _, id := range a.Cancel {
		r.cancelWorker(id)
	}
	for _, source := range a.StalledSources {
		r.service.cfg.Log.Log(eventlog.TransferStalled, "source", source)
	}
	for _, f := range a.Start {
		r.startWorker(f)
	}
	for _, address := range a.QueryPeers {
		r.service.queryPeer(address, r.target.digest, r.peerBitmaps)
	}
	if a.Announce != nil && r.conn != nil {
		a.Announce.ActiveUploads = len(r.service.uploadSlots)
		_ = r.conn.TrySend(a.Announce) // a lost announcement is repeated within a second
	}
	r.service.counters.chunks.Store(int64(len(r.target.parsed.manifest.Chunks)))
	r.service.counters.held.Store(int64(len(r.target.parsed.manifest.Chunks) - r.downloader.Missing()))
	if r.conn != nil && r.downloader.TrackerSilence(now) > r.service.cfg.TrackerTimeout/2 {
		// Announcements are repeated at least once per second and each one is
		// acknowledged, so the tracker does not receive them, even if its own
		// messages still arrive. Reconnect.
		_ = r.conn.Close()
	}
	if now.Sub(r.lastReport) >= reportInterval {
		r.report(&wire.TransferStatus{Manifest: r.target.digest, Phase: r.phase})
	}
	if a.Done && !r.complete && !r.verifying {
		r.verifying = true
		t := r.target
		r.service.wg.Add(1)
		go func() {
			defer r.service.wg.Done()
			res := verifyResult{target: t, err: r.service.cfg.Chunks.Verify(t.parsed.manifest)}
			select {
			case r.verifyResults <- res:
			case <-r.service.ctx.Done():
			}
		}()
	}
}

// handleVerifyResult processes the result of the final verification. The store
// has dropped corrupt chunks, and they are fetched again.
func (r *runner) handleVerifyResult(res verifyResult) {
	if res.target != r.target {
		return // the result belongs to an earlier version
	}
	r.verifying = false
	if res.err != nil {
		r.service.cfg.Log.Log(eventlog.ChunkCorrupt, "manifest", r.target.digest.Short(), "err", res.err)
		r.downloader.SetTarget(r.service.cfg.Clock.Now(), r.target.digest, r.target.parsed.manifest, r.service.cfg.Chunks.Have(r.target.parsed.manifest))
		return
	}
	r.complete = true
	r.phase = wire.PhaseVerified
	r.report(&wire.TransferStatus{Manifest: r.target.digest, Phase: r.phase})
	r.service.cfg.Log.Log(eventlog.VersionVerified, "manifest", r.target.digest.Short())
	r.target.result <- nil
}

// report sends a status of the current target to the tracker.
func (r *runner) report(m *wire.TransferStatus) {
	if r.target == nil || m.Manifest != r.target.digest {
		return
	}
	// The phase is kept even without a tracker, for the next report.
	r.phase = m.Phase
	if r.conn == nil {
		return
	}
	r.lastReport = r.service.cfg.Clock.Now()
	p := r.service.counters.progress()
	m.OriginBytes, m.PeerBytes, m.TotalBytes = p.OriginBytes-r.baseline.OriginBytes, p.PeerBytes-r.baseline.PeerBytes, r.target.parsed.manifest.TotalSize()
	_ = r.conn.TrySend(m)
}

// startWorker starts the transfer of one chunk.
func (r *runner) startWorker(f distribute.Fetch) {
	ctx, cancel := context.WithCancel(r.service.ctx)
	w := &worker{service: r.service, fetch: f, cancel: cancel}
	r.workers[f.ID] = w
	r.service.wg.Add(1)
	go func() {
		defer r.service.wg.Done()
		defer cancel()
		res := w.run(ctx)
		select {
		case r.fetchResults <- res:
		case <-r.service.ctx.Done():
		}
	}()
}

func (r *runner) cancelWorker(id uint64) {
	if w, ok := r.workers[id]; ok {
		w.cancel()
	}
}

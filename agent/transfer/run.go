package transfer

import (
	"context"
	"math/rand"
	"time"

	"github.com/auburnbend/auburnbend/lib/distribute"
	"github.com/auburnbend/auburnbend/lib/eventlog"
	"github.com/auburnbend/auburnbend/lib/model"
	"github.com/auburnbend/auburnbend/lib/weights"
	"github.com/auburnbend/auburnbend/lib/wire"
)

// runner is the state of the goroutine that owns the Downloader.
type runner struct {
	s       *Service
	d       *distribute.Downloader
	target  *target
	link    *link
	conn    *wire.Conn // nil without a tracker
	links   chan linkEvent
	workers map[uint64]*worker
	results chan done
	bitmaps chan peerBitmap
	checked chan check
	// checking is true while the complete set is verified.
	checking bool
	complete bool
	seeds    []*seed
	permit   *permitRequest
	reported time.Time
	phase    wire.Phase
}

// peerBitmap is a peer's answer about what it holds.
type peerBitmap struct {
	address string
	version model.Digest
	have    weights.Bitmap
}

// check is the result of verifying the whole set of a target.
type check struct {
	target *target
	err    error
}

// reportEvery is the time between two progress reports to the tracker.
const reportEvery = time.Second

func (s *Service) run() {
	defer s.wg.Done()
	cfg := s.cfg.Downloader
	cfg.Self = s.cfg.Identity.Address
	cfg.Rand = rand.New(rand.NewSource(s.cfg.Seed))
	r := &runner{
		s: s, d: distribute.NewDownloader(cfg),
		links: make(chan linkEvent), workers: make(map[uint64]*worker),
		results: make(chan done), bitmaps: make(chan peerBitmap), checked: make(chan check),
	}
	ticker := time.NewTicker(s.cfg.Tick)
	defer ticker.Stop()
	for {
		select {
		case <-s.ctx.Done():
			if r.target != nil && !r.complete {
				r.target.result <- ErrClosed
			}
			return
		case t := <-s.targets:
			r.retarget(t)
		case e := <-r.links:
			r.linkEvent(e)
		case p := <-s.permits:
			r.askPermit(p)
		case m := <-s.status:
			r.report(m)
		case res := <-r.results:
			r.finished(res)
		case b := <-r.bitmaps:
			r.d.PeerHas(b.address, b.version, b.have)
		case c := <-r.checked:
			r.verified(c)
		case <-ticker.C:
			now := s.cfg.Clock.Now()
			for id, w := range r.workers {
				r.d.Progress(now, id, w.progress())
			}
		}
		r.step()
	}
}

func (r *runner) retarget(t *target) {
	now := r.s.cfg.Clock.Now()
	if r.target != nil {
		if r.target.digest == t.digest {
			r.join(t)
			return
		}
		if !r.complete {
			r.target.result <- ErrReplaced
			r.s.cfg.Log.Log(eventlog.VersionReplaced, "old", r.target.digest.Short(), "new", t.digest.Short())
		}
		r.link.cancel()
		r.addSeed(r.target)
	}
	r.target, r.conn, r.complete, r.checking = t, nil, false, false
	r.s.cfg.Log.Log(eventlog.VersionWanted, "manifest", t.digest.Short(), "chunks", len(t.known.manifest.Chunks))
	r.dropSeed(t.digest)
	r.s.wanted(t.known.manifest)
	r.setWindow(t.known.manifest)
	for _, id := range r.d.SetTarget(now, t.digest, t.known.manifest, r.s.cfg.Chunks.Have(t.known.manifest)) {
		r.cancel(id)
	}
	r.setPeers()
	r.phase = wire.PhaseFetching
	r.link = r.s.newLink(t.digest, r.links)
}

func (r *runner) setPeers() {
	r.s.mu.Lock()
	defer r.s.mu.Unlock()
	r.d.SetPeers(r.s.peers)
}

// join lets a second Fetch of the same version wait too.
func (r *runner) join(t *target) {
	if !r.complete {
		first := r.target.result
		r.target.result = make(chan error, 1)
		go relay(r.target.result, first, t.result)
		return
	}
	t.result <- r.s.cfg.Chunks.Verify(t.known.manifest)
}

func relay(from <-chan error, to ...chan<- error) {
	err := <-from
	for _, c := range to {
		c <- err
	}
}

// setWindow bounds the chunk bytes in flight.
func (r *runner) setWindow(m *weights.Manifest) {
	largest := uint32(1)
	for _, c := range m.Chunks {
		largest = max(largest, c.Size)
	}
	fit := int(r.s.cfg.WindowBytes / int64(largest))
	r.d.SetWindow(max(1, min(r.s.cfg.Downloader.Window, fit)))
}

func (r *runner) linkEvent(e linkEvent) {
	if e.link != r.link {
		return // of an earlier version
	}
	now := r.s.cfg.Clock.Now()
	switch m := e.message.(type) {
	case nil:
		r.conn = e.conn
		r.answerPermit(permitAnswer{err: ErrNoTracker})
		if e.conn == nil {
			if r.s.counters.tracked.Swap(false) {
				r.s.cfg.Log.Log(eventlog.TrackerUnreachable)
			}
			r.setPeers()
			r.d.TrackerLost(now)
			return
		}
		r.s.counters.tracked.Store(true)
		r.d.Connected()
	case *wire.Assign:
		r.d.Assigned(now, m)
	case *wire.LoadPermit:
		r.answerPermit(permitAnswer{permit: *m})
	case *wire.ManifestFetch:
		_ = e.conn.TrySend(r.s.manifestReply(m.Manifest))
	}
}

func (r *runner) finished(res done) {
	delete(r.workers, res.fetch.ID)
	if res.result == distribute.Corrupt {
		r.s.cfg.Log.Log(eventlog.ChunkCorrupt, "chunk", res.fetch.Want.Digest.Short(), "source", res.fetch.Source)
	}
	if res.result == distribute.Throttled {
		r.s.cfg.Log.Log(eventlog.SourceThrottled, "retry_after", res.retryAfter)
	}
	r.d.Finished(r.s.cfg.Clock.Now(), res.fetch.ID, res.fetch.Want.Digest, res.result, res.retryAfter)
}

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
		r.s.cfg.Log.Log(eventlog.LinkStalled, "source", source)
	}
	for _, f := range a.Start {
		r.start(f)
	}
	for _, address := range a.AskPeers {
		r.s.askPeer(address, r.target.digest, r.bitmaps)
	}
	if a.Announce != nil && r.conn != nil {
		a.Announce.Uploads = len(r.s.slots)
		_ = r.conn.TrySend(a.Announce) // repeated by the heartbeat
	}
	r.s.counters.chunks.Store(int64(len(r.target.known.manifest.Chunks)))
	r.s.counters.held.Store(int64(len(r.target.known.manifest.Chunks) - r.d.Missing()))
	if r.conn != nil && r.d.Silence(now) > r.s.cfg.SilentAfter/2 {
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
	if r.target == nil || m.Manifest != r.target.digest || r.conn == nil {
		return
	}
	r.phase = m.Phase
	r.reported = r.s.cfg.Clock.Now()
	p := r.s.counters.progress()
	m.OriginBytes, m.PeerBytes, m.TotalBytes = p.OriginBytes, p.PeerBytes, r.target.known.manifest.Total()
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

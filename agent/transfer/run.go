package transfer

import (
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
	// before is the progress when the wanted version was set: operators see the
	// bytes of a version.
	before   Progress
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
	ticker := time.NewTicker(s.cfg.TickInterval)
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
			r.d.SetPeerBitmap(b.address, b.version, b.have)
		case c := <-r.checked:
			r.verified(c)
		case <-ticker.C:
			now := s.cfg.Clock.Now()
			for id, w := range r.workers {
				r.d.FetchProgress(now, id, w.progress())
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
	r.before = r.s.counters.progress()
	r.reported = time.Time{} // the new version is reported at once
	r.s.cfg.Log.Log(eventlog.VersionFetchStarted, "manifest", t.digest.Short(), "chunks", len(t.known.manifest.Chunks))
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
		r.d.TrackerConnected(now)
	case *wire.Assign:
		r.d.HandleAssign(now, m)
	case *wire.LoadPermit:
		r.answerPermit(permitAnswer{permit: *m})
	case *wire.ManifestFetch:
		_ = e.conn.TrySend(r.s.manifestReply(m.Manifest))
	}
}

func (r *runner) finished(res done) {
	delete(r.workers, res.fetch.ID)
	if res.result == distribute.Corrupt {
		r.s.cfg.Log.Log(eventlog.ChunkCorrupt, "chunk", res.fetch.Chunk.Digest.Short(), "source", res.fetch.Source)
	}
	if res.result == distribute.Throttled {
		r.s.cfg.Log.Log(eventlog.SourceThrottled, "retry_after", res.retryAfter)
	}
	r.d.FetchFinished(r.s.cfg.Clock.Now(), res.fetch.ID, res.fetch.Chunk.Digest, res.result, res.retryAfter)
}

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
	service       *Service
	downloader    *distribute.Downloader
	target        *target
	link          *trackerLink
	conn          *wire.Conn // nil without a tracker
	linkEvents    chan linkEvent
	workers       map[uint64]*worker
	fetchResults  chan fetchResult
	peerBitmaps   chan peerBitmap
	verifyResults chan verifyResult
	// verifying is true while the complete set of chunks is being verified.
	verifying     bool
	complete      bool
	seeds         []*seed
	pendingPermit *permitRequest
	// baseline is the progress at the time when the target was set. It is
	// subtracted from reported byte counts, so that operators see the bytes of
	// each version.
	baseline   Progress
	lastReport time.Time
	phase      wire.Phase
}

// peerBitmap is a peer's reply to a bitmap query.
type peerBitmap struct {
	address string
	version model.Digest
	have    weights.Bitmap
}

// verifyResult is the result of verifying all chunks of a target.
type verifyResult struct {
	target *target
	err    error
}

// reportInterval is the time between two progress reports to the tracker.
const reportInterval = time.Second

// run handles all events of the service until it is closed.
func (s *Service) run() {
	defer s.wg.Done()
	cfg := s.cfg.Downloader
	cfg.Self = s.cfg.Identity.Address
	cfg.Rand = rand.New(rand.NewSource(s.cfg.Seed))
	r := &runner{
		service: s, downloader: distribute.NewDownloader(cfg),
		linkEvents: make(chan linkEvent), workers: make(map[uint64]*worker),
		fetchResults: make(chan fetchResult), peerBitmaps: make(chan peerBitmap), verifyResults: make(chan verifyResult),
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
			r.setTarget(t)
		case e := <-r.linkEvents:
			r.handleLinkEvent(e)
		case p := <-s.permitRequests:
			r.requestPermit(p)
		case m := <-s.statusReports:
			r.report(m)
		case res := <-r.fetchResults:
			r.handleFetchResult(res)
		case b := <-r.peerBitmaps:
			r.downloader.SetPeerBitmap(b.address, b.version, b.have)
		case res := <-r.verifyResults:
			r.handleVerifyResult(res)
		case <-ticker.C:
			now := s.cfg.Clock.Now()
			for id, w := range r.workers {
				r.downloader.FetchProgress(now, id, w.progress())
			}
		}
		r.applyActions()
	}
}

// setTarget starts the transfer of a version. The previous version stays
// available to peers as a seed.
func (r *runner) setTarget(t *target) {
	now := r.service.cfg.Clock.Now()
	if r.target != nil {
		if r.target.digest == t.digest {
			r.joinTarget(t)
			return
		}
		if !r.complete {
			r.target.result <- ErrReplaced
			r.service.cfg.Log.Log(eventlog.VersionReplaced, "old", r.target.digest.Short(), "new", t.digest.Short())
		}
		r.link.cancel()
		r.addSeed(r.target)
	}
	r.target, r.conn, r.complete, r.verifying = t, nil, false, false
	r.baseline = r.service.counters.progress()
	r.lastReport = time.Time{} // report the new version at once
	r.service.cfg.Log.Log(eventlog.VersionFetchStarted, "manifest", t.digest.Short(), "chunks", len(t.parsed.manifest.Chunks))
	r.dropSeed(t.digest)
	r.service.retainChunks(t.parsed.manifest)
	r.setWindow(t.parsed.manifest)
	for _, id := range r.downloader.SetTarget(now, t.digest, t.parsed.manifest, r.service.cfg.Chunks.Have(t.parsed.manifest)) {
		r.cancelWorker(id)
	}
	r.addPeers()
	r.phase = wire.PhaseFetching
	r.link = r.service.newTrackerLink(t.digest, r.linkEvents)
}

func (r *runner) addPeers() {
	r.service.mu.Lock()
	defer r.service.mu.Unlock()
	r.downloader.AddPeers(r.service.peers)
}

// joinTarget makes another Fetch of the same version wait for the result as
// well. A complete version is verified again: chunks may have been corrupted or
// dropped since, and those are then fetched again.
func (r *runner) joinTarget(t *target) {
	if r.complete {
		r.complete = false
		r.target.result = t.result
		return
	}
	earlier := r.target.result
	r.target.result = make(chan error, 1)
	go broadcast(r.target.result, earlier, t.result)
}

// broadcast sends the next value of from to all of the given channels.
func broadcast(from <-chan error, to ...chan<- error) {
	err := <-from
	for _, c := range to {
		c <- err
	}
}

// setWindow limits the number of concurrent fetches so that the chunks in
// flight fit into WindowBytes.
func (r *runner) setWindow(m *weights.Manifest) {
	largest := uint32(1)
	for _, c := range m.Chunks {
		largest = max(largest, c.Size)
	}
	maxChunks := int(r.service.cfg.WindowBytes / int64(largest))
	r.downloader.SetWindow(max(1, min(r.service.cfg.Downloader.Window, maxChunks)))
}

func (r *runner) handleLinkEvent(e linkEvent) {
	if e.link != r.link {
		return // the link belongs to an earlier version
	}
	now := r.service.cfg.Clock.Now()
	switch m := e.message.(type) {
	case nil:
		r.conn = e.conn
		r.replyToPermitRequest(permitReply{err: ErrNoTracker})
		if e.conn == nil {
			if r.service.counters.hasTracker.Swap(false) {
				r.service.cfg.Log.Log(eventlog.TrackerUnreachable)
			}
			r.addPeers()
			r.downloader.TrackerLost(now)
			return
		}
		r.service.counters.hasTracker.Store(true)
		r.downloader.TrackerConnected(now)
	case *wire.Assign:
		r.downloader.HandleAssign(now, m)
	case *wire.LoadPermit:
		r.replyToPermitRequest(permitReply{permit: *m})
	case *wire.ManifestFetch:
		_ = e.conn.TrySend(r.service.manifestReply(m.Manifest))
	}
}

func (r *runner) handleFetchResult(res fetchResult) {
	delete(r.workers, res.fetch.ID)
	if res.result == distribute.Corrupt {
		r.service.cfg.Log.Log(eventlog.ChunkCorrupt, "chunk", res.fetch.Chunk.Digest.Short(), "source", res.fetch.Source)
	}
	if res.result == distribute.Throttled {
		r.service.cfg.Log.Log(eventlog.SourceThrottled, "retry_after", res.retryAfter)
	}
	r.downloader.FetchFinished(r.service.cfg.Clock.Now(), res.fetch.ID, res.fetch.Chunk.Digest, res.result, res.retryAfter)
}

package distribute

import (
	"time"

	"github.com/auburnbend/auburnbend/lib/model"
	"github.com/auburnbend/auburnbend/lib/weights"
	"github.com/auburnbend/auburnbend/lib/wire"
)

// Downloader tracks the chunks of the target version of one instance and
// decides which to fetch from where. Chunks are identified by digest, so chunks
// that two versions share are kept across a version change, on disk and in
// flight.
type Downloader struct {
	cfg      DownloaderConfig
	digest   model.Digest
	manifest *weights.Manifest
	offsets  map[model.Digest]int64
	indexes  map[model.Digest][]int
	held     map[model.Digest]bool
	missing  int

	lastID         uint64
	active         map[uint64]*activeFetch
	inFlight       map[model.Digest]int // active fetches per chunk
	queue          []pendingAssignment
	failedGrants   []wire.GrantFailure
	originAttempts map[model.Digest]int // origin fetches per chunk

	transferTime     movingAverage
	hasTracker       bool
	sequence         uint64    // of the last announcement sent
	answeredSequence uint64    // last announcement that the tracker answered
	connectedAt      time.Time // start of the current tracker connection
	unansweredSince  time.Time // start of the wait for the tracker's answer; zero if none is due
	retryInterval    time.Duration
	announceDue      bool
	lastAnnounce     time.Time

	originBlockedUntil time.Time // no origin fetches before this time
	originBackoff      time.Duration
	trackerless        trackerlessState
}

// NewDownloader returns a Downloader without a target version; see SetTarget.
func NewDownloader(cfg DownloaderConfig) *Downloader {
	cfg.applyDefaults()
	return &Downloader{
		cfg:            cfg,
		held:           make(map[model.Digest]bool),
		active:         make(map[uint64]*activeFetch),
		inFlight:       make(map[model.Digest]int),
		originAttempts: make(map[model.Digest]int),
		trackerless:    newTrackerlessState(),
	}
}

// SetTarget sets the target version and the chunks of it that the store already
// holds. It returns the IDs of active fetches that the new version does not
// need; the caller must cancel them. Queued assignments for the previous
// version are discarded.
func (d *Downloader) SetTarget(now time.Time, digest model.Digest, m *weights.Manifest, have weights.Bitmap) (cancel []uint64) {
	d.digest, d.manifest = digest, m
	d.indexes = make(map[model.Digest][]int, len(m.Chunks))
	d.offsets = make(map[model.Digest]int64, len(m.Chunks))
	d.held = make(map[model.Digest]bool)
	d.missing = 0
	offset := int64(0)
	for i, c := range m.Chunks {
		if _, ok := d.indexes[c.Digest]; !ok {
			d.offsets[c.Digest] = offset
			if have.Get(i) {
				d.held[c.Digest] = true
			} else {
				d.missing++
			}
		}
		d.indexes[c.Digest] = append(d.indexes[c.Digest], i)
		offset += int64(c.Size)
	}
	for _, id := range sortedKeys(d.active) {
		f := d.active[id]
		f.grant = 0 // the grant belongs to the previous version's tracker
		if _, wanted := d.indexes[f.Chunk.Digest]; !wanted || d.held[f.Chunk.Digest] {
			cancel = append(cancel, id)
			d.removeFetch(f)
		}
	}
	d.queue, d.failedGrants = nil, nil
	d.originAttempts = make(map[model.Digest]int)
	d.trackerless.reset(now)
	d.announceDue = true
	return cancel
}

// HandleAssign processes a message from the tracker. Assignments for another
// version and for chunks that are already held are dropped; the next
// announcement tells the tracker which chunks are held.
func (d *Downloader) HandleAssign(now time.Time, a *wire.Assign) {
	if d.manifest == nil || a.Manifest != d.digest {
		return
	}
	switch {
	case a.Sequence == d.sequence:
		d.unansweredSince = time.Time{}
	case a.Sequence > d.answeredSequence:
		d.unansweredSince = now
	}
	d.answeredSequence = a.Sequence
	d.hasTracker = true
	if a.ReannounceMillis > 0 {
		d.retryInterval = time.Duration(a.ReannounceMillis) * time.Millisecond
	}
	d.trackerless.addPeers(a.Peers, d.cfg.Self)
	for _, assignment := range a.Assignments {
		if assignment.Chunk < 0 || assignment.Chunk >= len(d.manifest.Chunks) {
			continue
		}
		c := d.manifest.Chunks[assignment.Chunk]
		if assignment.Source != Origin {
			d.trackerless.addPeers([]string{assignment.Source}, d.cfg.Self)
		}
		if d.held[c.Digest] {
			d.announceDue = true
			continue
		}
		d.queue = append(d.queue, pendingAssignment{
			grant: assignment.Grant, chunk: c, source: assignment.Source,
			deadline: now.Add(time.Duration(assignment.DeadlineMillis) * time.Millisecond),
		})
	}
}

// TrackerLost reports that no tracker is reachable. The Downloader continues in
// trackerless mode until it receives an assignment.
func (d *Downloader) TrackerLost(now time.Time) {
	if d.hasTracker {
		d.trackerless.reset(now)
	}
	d.hasTracker = false
}

// TrackerSilence returns how long an announcement on the current tracker
// connection has been unanswered, or zero if none is.
func (d *Downloader) TrackerSilence(now time.Time) time.Duration {
	if d.unansweredSince.IsZero() {
		return 0
	}
	return min(now.Sub(d.unansweredSince), now.Sub(d.connectedAt))
}

// FetchProgress records the total number of bytes that a fetch has received.
func (d *Downloader) FetchProgress(now time.Time, id uint64, received int64) {
	if f, ok := d.active[id]; ok && received > f.received {
		f.received, f.lastProgress = received, now
	}
}

// FetchFinished records the result of a fetch. A delivered chunk counts even if
// the fetch was cancelled, because its digest has been verified. retryAfter is
// the wait that a throttling source asked for.
func (d *Downloader) FetchFinished(now time.Time, id uint64, chunk model.Digest, r Result, retryAfter time.Duration) {
	f, known := d.active[id]
	if known {
		d.removeFetch(f)
	}
	if r == Delivered {
		d.markVerified(now, chunk, f)
		return
	}
	if !known {
		return
	}
	if f.Source == Origin && r == Throttled {
		d.backOffOrigin(now, retryAfter)
	}
	// Peer failures are recorded with a tracker connected as well: if it stops
	// answering, this agent selects peers itself.
	d.trackerless.fetchFailed(now, f, r)
	d.failGrant(f.grant, r)
}

func (d *Downloader) markVerified(now time.Time, chunk model.Digest, f *activeFetch) {
	if _, wanted := d.indexes[chunk]; !wanted || d.held[chunk] {
		return
	}
	d.held[chunk] = true
	d.missing--
	d.announceDue = true
	if f != nil {
		d.transferTime.add(now.Sub(f.started))
		d.trackerless.fetchDelivered(f.Source)
		if f.Source == Origin {
			d.originBackoff = 0
		}
	}
}

// failGrant queues a grant that this instance will not use for the next
// announcement. Grant 0 means that the fetch was not assigned by a tracker.
func (d *Downloader) failGrant(grant uint64, r Result) {
	d.announceDue = true
	if grant == 0 {
		return
	}
	d.failedGrants = append(d.failedGrants, wire.GrantFailure{
		Grant: grant, Corrupt: r == Corrupt, Busy: r == Busy || r == Throttled,
	})
}

// backOffOrigin blocks origin fetches for at least the time that the origin
// asked for. The wait doubles with each consecutive refusal and has jitter, so
// that agents do not retry at the same time.
func (d *Downloader) backOffOrigin(now time.Time, retryAfter time.Duration) {
	d.originBackoff = min(max(d.originBackoff*2, d.cfg.MinBackoff), d.cfg.MaxBackoff)
	wait := max(retryAfter, d.originBackoff)
	wait += time.Duration(d.cfg.Rand.Int63n(int64(wait)/2 + 1))
	d.originBlockedUntil = now.Add(wait)
}

func (d *Downloader) removeFetch(f *activeFetch) {
	delete(d.active, f.ID)
	if d.inFlight[f.Chunk.Digest]--; d.inFlight[f.Chunk.Digest] <= 0 {
		delete(d.inFlight, f.Chunk.Digest)
	}
}

// Have returns a bitmap of the verified chunks. It must not be called before
// SetTarget.
func (d *Downloader) Have() weights.Bitmap {
	have := weights.NewBitmap(len(d.manifest.Chunks))
	for digest := range d.held {
		for _, i := range d.indexes[digest] {
			have.Set(i)
		}
	}
	return have
}

// Missing returns the number of distinct chunks that are not verified yet.
func (d *Downloader) Missing() int { return d.missing }

// Target returns the manifest digest of the target version.
func (d *Downloader) Target() model.Digest { return d.digest }

// SetWindow sets the maximum number of concurrent chunk fetches; values below 1
// count as 1.
func (d *Downloader) SetWindow(chunks int) { d.cfg.Window = max(1, chunks) }

package distribute

import (
	"time"

	"github.com/auburnbend/auburnbend/lib/model"
	"github.com/auburnbend/auburnbend/lib/weights"
	"github.com/auburnbend/auburnbend/lib/wire"
)

// Downloader owns the chunk state of one instance for the version that it
// wants. Chunks are known by digest, so a change of version keeps what both
// versions share, on disk and in flight.
type Downloader struct {
	cfg      DownloaderConfig
	digest   model.Digest
	manifest *weights.Manifest
	offsets  map[model.Digest]int64
	indexes  map[model.Digest][]int
	held     map[model.Digest]bool
	missing  int

	lastID   uint64
	active   map[uint64]*fetching
	byChunk  map[model.Digest]int // fetches in flight
	queue    []assigned
	failures []wire.GrantFailure
	attempts map[model.Digest]int // origin fetches of a chunk

	chunkTime average
	tracked   bool
	sequence  uint64    // of the last announcement
	answered  uint64    // last announcement that the tracker has answered
	connected time.Time // when the connection to the tracker was new
	waiting   time.Time // since when an announcement is unanswered; zero if none is
	retry     time.Duration
	dirty     bool
	announced time.Time

	originUntil time.Time // the origin asked to wait until then
	backoff     time.Duration
	solo        soloState
}

// NewDownloader returns a Downloader that wants nothing until SetTarget.
func NewDownloader(cfg DownloaderConfig) *Downloader {
	cfg.applyDefaults()
	return &Downloader{
		cfg:      cfg,
		held:     make(map[model.Digest]bool),
		active:   make(map[uint64]*fetching),
		byChunk:  make(map[model.Digest]int),
		attempts: make(map[model.Digest]int),
		solo:     newSoloState(),
	}
}

// SetTarget names the wanted version and the chunks of it that the store holds.
// It returns the fetches in flight that the new version does not need; the
// owner ends them. Assignments of the old version are forgotten.
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
		f.grant = 0 // grants belong to the old version's tracker
		if _, wanted := d.indexes[f.Chunk.Digest]; !wanted || d.held[f.Chunk.Digest] {
			cancel = append(cancel, id)
			d.forget(f)
		}
	}
	d.queue, d.failures = nil, nil
	d.attempts = make(map[model.Digest]int)
	d.solo.reset(now)
	d.dirty = true
	return cancel
}

// HandleAssign takes a tracker's message. Assignments for another version, for held
// chunks and for chunks in flight are dropped; the next announcement tells the
// tracker.
func (d *Downloader) HandleAssign(now time.Time, a *wire.Assign) {
	if d.manifest == nil || a.Manifest != d.digest {
		return
	}
	switch {
	case a.Sequence == d.sequence:
		d.waiting = time.Time{}
	case a.Sequence > d.answered:
		d.waiting = now
	}
	d.answered = a.Sequence
	d.tracked = true
	if a.RetryMillis > 0 {
		d.retry = time.Duration(a.RetryMillis) * time.Millisecond
	}
	d.solo.addPeers(a.Peers, d.cfg.Self)
	for _, as := range a.Assignments {
		if as.Chunk < 0 || as.Chunk >= len(d.manifest.Chunks) {
			continue
		}
		c := d.manifest.Chunks[as.Chunk]
		if as.Source != Origin {
			d.solo.addPeers([]string{as.Source}, d.cfg.Self)
		}
		if d.held[c.Digest] {
			d.dirty = true
			continue
		}
		d.queue = append(d.queue, assigned{
			grant: as.Grant, chunk: c, source: as.Source,
			deadline: now.Add(time.Duration(as.DeadlineMillis) * time.Millisecond),
		})
	}
}

// TrackerLost says that no tracker is reachable. The Downloader goes on by
// itself until an assignment arrives.
func (d *Downloader) TrackerLost(now time.Time) {
	if d.tracked {
		d.solo.reset(now)
	}
	d.tracked = false
}

// TrackerSilence is the time for which the tracker of the current connection has not
// answered an announcement.
func (d *Downloader) TrackerSilence(now time.Time) time.Duration {
	if d.waiting.IsZero() {
		return 0
	}
	return min(now.Sub(d.waiting), now.Sub(d.connected))
}

// FetchProgress says how many bytes of a fetch have arrived.
func (d *Downloader) FetchProgress(now time.Time, id uint64, received int64) {
	if f, ok := d.active[id]; ok && received > f.received {
		f.received, f.progress = received, now
	}
}

// FetchFinished takes the result of a fetch. A delivered chunk counts even if the
// fetch is not known any more: its bytes were verified.
func (d *Downloader) FetchFinished(now time.Time, id uint64, chunk model.Digest, r Result, retryAfter time.Duration) {
	f, known := d.active[id]
	if known {
		d.forget(f)
	}
	if r == Delivered {
		d.deliver(now, chunk, f)
		return
	}
	if !known {
		return
	}
	if f.Source == Origin && r == Throttled {
		d.throttled(now, retryAfter)
	}
	// Also while a tracker is connected: one that does not answer leaves the
	// choice of peers to this agent.
	d.solo.failed(now, f, r)
	d.giveUp(f.grant, r)
}

func (d *Downloader) deliver(now time.Time, chunk model.Digest, f *fetching) {
	if _, wanted := d.indexes[chunk]; !wanted || d.held[chunk] {
		return
	}
	d.held[chunk] = true
	d.missing--
	d.dirty = true
	if f != nil {
		d.chunkTime.add(now.Sub(f.started))
		d.solo.delivered(f.Source)
		if f.Source == Origin {
			d.backoff = 0
		}
	}
}

// giveUp reports a grant that this instance will not use.
func (d *Downloader) giveUp(grant uint64, r Result) {
	d.dirty = true
	if grant == 0 {
		return
	}
	d.failures = append(d.failures, wire.GrantFailure{
		Grant: grant, Corrupt: r == Corrupt, Busy: r == Busy || r == Throttled,
	})
}

// throttled backs off from the origin: at least as long as it asked, doubled
// with each refusal in a row, with jitter so that agents don't return at once.
func (d *Downloader) throttled(now time.Time, retryAfter time.Duration) {
	d.backoff = min(max(d.backoff*2, d.cfg.MinBackoff), d.cfg.MaxBackoff)
	wait := max(retryAfter, d.backoff)
	wait += time.Duration(d.cfg.Rand.Int63n(int64(wait)/2 + 1))
	d.originUntil = now.Add(wait)
}

func (d *Downloader) forget(f *fetching) {
	delete(d.active, f.ID)
	if d.byChunk[f.Chunk.Digest]--; d.byChunk[f.Chunk.Digest] <= 0 {
		delete(d.byChunk, f.Chunk.Digest)
	}
}

// Have returns the chunks that are verified.
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

// Target returns the wanted version.
func (d *Downloader) Target() model.Digest { return d.digest }

// SetWindow changes the number of chunks that are fetched at one time.
func (d *Downloader) SetWindow(chunks int) { d.cfg.Window = max(1, chunks) }

package distribute

import (
	"time"

	"github.com/auburnbend/auburnbend/lib/weights"
	"github.com/auburnbend/auburnbend/lib/wire"
)

// Next returns what to do now. It is called after each event and a few times
// per second.
func (d *Downloader) Next(now time.Time) Actions {
	var a Actions
	if d.manifest == nil {
		return a
	}
	d.cancelStalled(now, &a)
	d.cancelHeld(&a)
	d.startAssigned(now, &a)
	// Each announcement is answered. While the answers stay away, peers are used
	// directly, also while other trackers are tried; the origin only once the tracker counts as lost.
	if d.missing > 0 && (!d.tracked || !d.waiting.IsZero() && now.Sub(d.waiting) > d.cfg.TrackerTimeout) {
		d.startSolo(now, &a)
	}
	d.announce(now, &a)
	a.Done = d.missing == 0
	return a
}

// stallAfter is the time without progress after which a fetch is given up. It
// follows from the observed time for a whole chunk, because the bytes of a
// chunk arrive unevenly when a link is shared.
func (d *Downloader) stallAfter() time.Duration {
	return d.chunkTime.deadline(d.cfg.MinStallTimeout, d.cfg.MaxStallTimeout, d.cfg.MaxStallTimeout)
}

func (d *Downloader) cancelStalled(now time.Time, a *Actions) {
	limit := d.stallAfter()
	for _, id := range sortedKeys(d.active) {
		f := d.active[id]
		if now.Sub(f.progress) < limit {
			continue
		}
		a.Cancel = append(a.Cancel, id)
		a.StalledSources = append(a.StalledSources, f.Source)
		d.FetchFinished(now, id, f.Chunk.Digest, Stalled, 0)
	}
}

// cancelHeld ends duplicates of chunks that another source has delivered.
func (d *Downloader) cancelHeld(a *Actions) {
	for _, id := range sortedKeys(d.active) {
		if f := d.active[id]; d.held[f.Chunk.Digest] {
			a.Cancel = append(a.Cancel, id)
			d.forget(f)
		}
	}
}

func (d *Downloader) startAssigned(now time.Time, a *Actions) {
	keep := d.queue[:0]
	for _, as := range d.queue {
		switch {
		case d.held[as.chunk.Digest]:
			d.dirty = true
		case !now.Before(as.deadline):
			// The tracker has granted the chunk again; a process that was paused
			// must not start on the old grant.
			d.giveUp(as.grant, Busy)
		case as.source == Origin && now.Before(d.originUntil):
			if d.originUntil.After(as.deadline) {
				d.giveUp(as.grant, Throttled)
			} else {
				keep = append(keep, as)
			}
		case len(d.active) >= d.cfg.Window:
			keep = append(keep, as)
		default:
			a.Start = append(a.Start, d.start(now, as.chunk, as.source, as.grant))
		}
	}
	d.queue = keep
}

func (d *Downloader) start(now time.Time, c weights.Chunk, source string, grant uint64) Fetch {
	d.lastID++
	f := &fetching{
		Fetch:   Fetch{ID: d.lastID, Object: d.manifest.Object, Offset: d.offsets[c.Digest], Chunk: c, Source: source},
		grant:   grant,
		started: now, progress: now,
	}
	if source == Origin {
		f.Attempt = d.attempts[c.Digest]
		d.attempts[c.Digest]++
	}
	d.active[f.ID] = f
	d.byChunk[c.Digest]++
	return f.Fetch
}

func (d *Downloader) announce(now time.Time, a *Actions) {
	since := now.Sub(d.announced)
	repeat := d.cfg.HeartbeatInterval
	if d.missing > 0 && d.retry > 0 {
		repeat = min(repeat, d.retry)
	}
	if since < d.cfg.MinAnnounceInterval || !d.dirty && since < repeat {
		return
	}
	busy := len(d.active) + len(d.queue)
	d.sequence++
	if d.waiting.IsZero() {
		d.waiting = now
	}
	a.Announce = &wire.Announce{
		Manifest: d.digest,
		Have:     d.Have(),
		Failed:   d.failures,
		Active:   busy,
		Sequence: d.sequence,
	}
	if d.missing > 0 {
		a.Announce.Slots = max(d.cfg.Window+d.cfg.QueueDepth-busy, 0)
	}
	d.failures, d.dirty, d.announced = nil, false, now
}

// TrackerConnected says that the connection to a tracker is new. The next announcement
// is immediate: it needs the whole state.
func (d *Downloader) TrackerConnected(now time.Time) {
	d.dirty, d.announced = true, time.Time{}
	d.connected, d.answered = now, 0
}

package distribute

import (
	"time"

	"github.com/auburnbend/auburnbend/lib/weights"
	"github.com/auburnbend/auburnbend/lib/wire"
)

// Next returns the actions that are due at the given time. The caller invokes
// it after each event and several times per second.
func (d *Downloader) Next(now time.Time) Actions {
	var a Actions
	if d.manifest == nil {
		return a
	}
	d.cancelStalled(now, &a)
	d.cancelDuplicates(&a)
	d.startAssigned(now, &a)
	// Trackers answer every announcement. Without answers, chunks are fetched
	// from peers directly, even while other trackers are tried. The origin is
	// used only after TrackerLost.
	if d.missing > 0 && (!d.hasTracker || !d.unansweredSince.IsZero() && now.Sub(d.unansweredSince) > d.cfg.TrackerTimeout) {
		d.startTrackerless(now, &a)
	}
	d.announce(now, &a)
	a.Done = d.missing == 0
	return a
}

// stallTimeout returns the time without progress after which a fetch is
// cancelled. It is derived from the observed time for a whole chunk, because
// the bytes of a chunk arrive unevenly on a shared link.
func (d *Downloader) stallTimeout() time.Duration {
	return d.transferTime.timeout(d.cfg.MinStallTimeout, d.cfg.MaxStallTimeout, d.cfg.MaxStallTimeout)
}

func (d *Downloader) cancelStalled(now time.Time, a *Actions) {
	timeout := d.stallTimeout()
	for _, id := range sortedKeys(d.active) {
		f := d.active[id]
		if now.Sub(f.lastProgress) < timeout {
			continue
		}
		a.Cancel = append(a.Cancel, id)
		a.StalledSources = append(a.StalledSources, f.Source)
		d.FetchFinished(now, id, f.Chunk.Digest, Stalled, 0)
	}
}

// cancelDuplicates cancels fetches of chunks that another source has delivered.
func (d *Downloader) cancelDuplicates(a *Actions) {
	for _, id := range sortedKeys(d.active) {
		if f := d.active[id]; d.held[f.Chunk.Digest] {
			a.Cancel = append(a.Cancel, id)
			d.removeFetch(f)
		}
	}
}

func (d *Downloader) startAssigned(now time.Time, a *Actions) {
	remaining := d.queue[:0]
	for _, assignment := range d.queue {
		switch {
		case d.held[assignment.chunk.Digest]:
			d.announceDue = true
		case !now.Before(assignment.deadline):
			// The tracker has reassigned the chunk. A process that was paused must
			// not act on the expired grant.
			d.failGrant(assignment.grant, Busy)
		case assignment.source == Origin && now.Before(d.originBlockedUntil):
			if d.originBlockedUntil.After(assignment.deadline) {
				d.failGrant(assignment.grant, Throttled)
			} else {
				remaining = append(remaining, assignment)
			}
		case len(d.active) >= d.cfg.Window:
			remaining = append(remaining, assignment)
		default:
			a.Start = append(a.Start, d.startFetch(now, assignment.chunk, assignment.source, assignment.grant))
		}
	}
	d.queue = remaining
}

func (d *Downloader) startFetch(now time.Time, c weights.Chunk, source string, grant uint64) Fetch {
	d.lastID++
	f := &activeFetch{
		Fetch:   Fetch{ID: d.lastID, Object: d.manifest.Object, Offset: d.offsets[c.Digest], Chunk: c, Source: source},
		grant:   grant,
		started: now, lastProgress: now,
	}
	if source == Origin {
		f.Attempt = d.originAttempts[c.Digest]
		d.originAttempts[c.Digest]++
	}
	d.active[f.ID] = f
	d.inFlight[c.Digest]++
	return f.Fetch
}

func (d *Downloader) announce(now time.Time, a *Actions) {
	elapsed := now.Sub(d.lastAnnounce)
	interval := d.cfg.HeartbeatInterval
	if d.missing > 0 && d.retryInterval > 0 {
		interval = min(interval, d.retryInterval)
	}
	if elapsed < d.cfg.MinAnnounceInterval || !d.announceDue && elapsed < interval {
		return
	}
	unfinished := len(d.active) + len(d.queue)
	d.sequence++
	if d.unansweredSince.IsZero() {
		d.unansweredSince = now
	}
	a.Announce = &wire.Announce{
		Manifest:          d.digest,
		ChunkBitmap:       d.Have(),
		FailedGrants:      d.failedGrants,
		ActiveAssignments: unfinished,
		Sequence:          d.sequence,
	}
	if d.missing > 0 {
		a.Announce.RequestedAssignments = max(d.cfg.Window+d.cfg.QueueDepth-unfinished, 0)
	}
	d.failedGrants, d.announceDue, d.lastAnnounce = nil, false, now
}

// TrackerConnected reports a new connection to a tracker. The next announcement
// is sent immediately, because a new tracker needs the full state.
func (d *Downloader) TrackerConnected(now time.Time) {
	d.announceDue, d.lastAnnounce = true, time.Time{}
	d.connectedAt, d.answeredSequence = now, 0
}

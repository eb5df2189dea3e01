package distribute

import (
	"slices"
	"time"

	"github.com/auburnbend/auburnbend/lib/model"
	"github.com/auburnbend/auburnbend/lib/weights"
	"github.com/auburnbend/auburnbend/lib/wire"
)

const (
	// maxSummaryHolders is the maximum number of agents in one summary. It
	// limits the message size; other failure domains need some sources, not all
	// of them.
	maxSummaryHolders = 8
	// maxCreditChunks is the maximum unused share of an inter-region link that
	// is carried over, in chunks.
	maxCreditChunks = 4
	// sameRegionStreamFactor multiplies RemoteStreams for sources in the
	// tracker's own region, which no inter-region link limits.
	sameRegionStreamFactor = 4
)

// remoteTracker is the last summary received from another tracker.
type remoteTracker struct {
	location model.Location
	region   *remoteRegion
	lastSeen time.Time
	holders  []*source
}

// findHolder returns the state of an agent, or nil if the last summary did not
// name it.
func (d *remoteTracker) findHolder(address string) *source {
	for _, s := range d.holders {
		if s.address == address {
			return s
		}
	}
	return nil
}

// remoteRegion accounts for the use of the link from one region.
type remoteRegion struct {
	sameRegion    bool // the tracker's own region, without an inter-region link
	activeGrants  int
	credit        float64 // bytes that may be fetched now
	creditUpdated time.Time
}

func (r *remoteRegion) refill(now time.Time, rate int64, burst float64) {
	r.credit = min(r.credit+float64(rate)*now.Sub(r.creditUpdated).Seconds(), burst)
	r.creditUpdated = now
}

// Summarize returns a summary for other trackers of which chunks the agents of
// this failure domain hold. It selects agents so that few of them cover many
// chunks.
func (t *Tracker) Summarize() *wire.HolderSummary {
	s := &wire.HolderSummary{Manifest: t.cfg.Digest, Location: t.cfg.Location}
	covered := weights.NewBitmap(len(t.cfg.Manifest.Chunks))
	candidates := slices.Clone(t.sortedPeers())
	for len(s.Holders) < maxSummaryHolders && len(candidates) > 0 {
		best, gain := 0, 0
		for i, p := range candidates {
			if g := countNewChunks(covered, p.have); g > gain {
				best, gain = i, g
			}
		}
		if gain == 0 {
			// All chunks are covered. Further agents serve as alternatives to
			// sources behind a stalled link.
			best = t.cfg.Rand.Intn(len(candidates))
		}
		p := candidates[best]
		candidates = append(candidates[:best], candidates[best+1:]...)
		if p.have.Count() == 0 {
			continue
		}
		for i := range p.have {
			covered[i] |= p.have[i]
		}
		s.Holders = append(s.Holders, wire.Holder{Address: p.address, ChunkBitmap: p.have.Clone()})
	}
	return s
}

// countNewChunks returns the number of chunks in have that are not in covered.
func countNewChunks(covered, have weights.Bitmap) int {
	n := 0
	for i := range have {
		n += weights.Bitmap{have[i] &^ covered[i]}.Count()
	}
	return n
}

// UpdateRemote processes the summary of the tracker with the given address.
// That tracker serves another failure domain, or it is a second tracker of the
// same one while some agents cannot reach the first.
func (t *Tracker) UpdateRemote(now time.Time, tracker string, s *wire.HolderSummary) {
	r, ok := t.regions[s.Location.Region]
	if !ok {
		r = &remoteRegion{sameRegion: s.Location.Region == t.cfg.Location.Region, creditUpdated: now}
		t.regions[s.Location.Region] = r
	}
	d, ok := t.remote[tracker]
	if !ok {
		d = &remoteTracker{}
		t.remote[tracker] = d
	}
	holders := make([]*source, 0, len(s.Holders))
	for _, h := range s.Holders {
		if _, own := t.peers[h.Address]; own {
			continue // the agent now uses this tracker
		}
		src := d.findHolder(h.Address)
		if src == nil {
			src = &source{address: h.Address}
		}
		src.have = h.ChunkBitmap
		holders = append(holders, src)
	}
	d.location, d.region, d.lastSeen, d.holders = s.Location, r, now, holders
}

// usableRemotes returns the other trackers whose agents may be used as sources
// now: their summary is recent, and streams and rate of the link from their
// region allow another transfer.
func (t *Tracker) usableRemotes(now time.Time) []*remoteTracker {
	var out []*remoteTracker
	for _, address := range sortedKeys(t.remote) {
		d := t.remote[address]
		streams := t.cfg.RemoteStreams
		if d.region.sameRegion {
			streams *= sameRegionStreamFactor
		}
		if now.Sub(d.lastSeen) > t.cfg.SummaryTimeout || d.region.activeGrants >= streams {
			continue
		}
		if !d.region.sameRegion && t.cfg.RemoteRate > 0 {
			d.region.refill(now, t.cfg.RemoteRate, maxCreditChunks*float64(t.cfg.Manifest.Chunks[0].Size))
			if d.region.credit < 0 {
				continue
			}
		}
		out = append(out, d)
	}
	return out
}

// chooseRemoteSource returns the agent of another tracker that holds a chunk
// and has the fewest uploads, chosen randomly among equals, and its region. It
// returns nil if there is none.
func (t *Tracker) chooseRemoteSource(now time.Time, remotes []*remoteTracker, to *peer, chunk int) (*source, *remoteRegion) {
	var best *source
	var region *remoteRegion
	ties := 0
	for _, d := range remotes {
		for _, s := range d.holders {
			if !s.have.Get(chunk) || s.uploads >= t.cfg.UploadSlots || !s.usable(now) || !to.accepts(now, s.address) || to.corruptFrom[chunk] == s.address {
				continue
			}
			switch {
			case best == nil, s.uploads < best.uploads:
				best, region, ties = s, d.region, 0
			case s.uploads == best.uploads:
				if ties++; t.cfg.Rand.Intn(ties+1) == 0 {
					best, region = s, d.region
				}
			}
		}
	}
	return best, region
}

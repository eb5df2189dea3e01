package distribute

import (
	"slices"
	"time"

	"github.com/auburnbend/auburnbend/lib/model"
	"github.com/auburnbend/auburnbend/lib/weights"
	"github.com/auburnbend/auburnbend/lib/wire"
)

const (
	// summaryHolders bounds the agents that one summary names, which bounds its
	// size: other failure domains need some sources, not all.
	summaryHolders = 8
	// creditChunks bounds the unused share of an inter-region link that may be
	// used later, in chunks.
	creditChunks = 4
	// nearStreams multiplies the streams between failure domains of one region,
	// which no inter-region link limits.
	nearStreams = 4
)

// remoteDomain is what another tracker says about its agents.
type remoteDomain struct {
	location model.Location
	region   *remoteRegion
	seen     time.Time
	holders  []*source // by address
}

// holder returns what is known about an agent, or nil.
func (d *remoteDomain) holder(address string) *source {
	for _, s := range d.holders {
		if s.address == address {
			return s
		}
	}
	return nil
}

// remoteRegion accounts for the use of the link from one other region.
type remoteRegion struct {
	near    bool // the tracker's own region: no inter-region link
	active  int
	credit  float64 // bytes that may be fetched now
	updated time.Time
}

func (r *remoteRegion) refill(now time.Time, rate int64, burst float64) {
	r.credit = min(r.credit+float64(rate)*now.Sub(r.updated).Seconds(), burst)
	r.updated = now
}

// Summarize says which chunks the agents of this failure domain hold, for the
// trackers of other failure domains. It names the agents that hold most.
func (t *Tracker) Summarize() *wire.HolderSummary {
	s := &wire.HolderSummary{Manifest: t.cfg.Digest, Location: t.cfg.Location}
	covered := weights.NewBitmap(len(t.cfg.Manifest.Chunks))
	left := slices.Clone(t.sortedPeers())
	for len(s.Holders) < summaryHolders && len(left) > 0 {
		best, gain := 0, 0
		for i, p := range left {
			if g := newChunks(covered, p.have); g > gain {
				best, gain = i, g
			}
		}
		if gain == 0 {
			// The rest are spares, for sources behind a stalled link.
			best = t.cfg.Rand.Intn(len(left))
		}
		p := left[best]
		left = append(left[:best], left[best+1:]...)
		if p.have.Count() == 0 {
			continue
		}
		for i := range p.have {
			covered[i] |= p.have[i]
		}
		s.Holders = append(s.Holders, wire.Holder{Address: p.address, Have: p.have.Clone()})
	}
	return s
}

func newChunks(covered, have weights.Bitmap) int {
	n := 0
	for i := range have {
		n += weights.Bitmap{have[i] &^ covered[i]}.Count()
	}
	return n
}

// UpdateRemote takes the summary of the tracker with an address: one of another
// failure domain, or a second one of the same failure domain while some agents
// cannot reach the first.
func (t *Tracker) UpdateRemote(now time.Time, tracker string, s *wire.HolderSummary) {
	r, ok := t.regions[s.Location.Region]
	if !ok {
		r = &remoteRegion{near: s.Location.Region == t.cfg.Location.Region, updated: now}
		t.regions[s.Location.Region] = r
	}
	d, ok := t.remote[tracker]
	if !ok {
		d = &remoteDomain{}
		t.remote[tracker] = d
	}
	holders := make([]*source, 0, len(s.Holders))
	for _, h := range s.Holders {
		if _, own := t.peers[h.Address]; own {
			continue // it has changed over to this tracker
		}
		src := d.holder(h.Address)
		if src == nil {
			src = &source{address: h.Address}
		}
		src.have = h.Have
		holders = append(holders, src)
	}
	d.location, d.region, d.seen, d.holders = s.Location, r, now, holders
}

// openRemote returns the other trackers whose agents may be used now: their
// summary is recent and the link from their region has a free share.
func (t *Tracker) openRemote(now time.Time) []*remoteDomain {
	var out []*remoteDomain
	for _, name := range sortedKeys(t.remote) {
		d := t.remote[name]
		streams := t.cfg.RemoteStreams
		if d.region.near {
			streams *= nearStreams
		}
		if now.Sub(d.seen) > t.cfg.SummaryTimeout || d.region.active >= streams {
			continue
		}
		if !d.region.near && t.cfg.RemoteRate > 0 {
			d.region.refill(now, t.cfg.RemoteRate, creditChunks*float64(t.cfg.Manifest.Chunks[0].Size))
			if d.region.credit < 0 {
				continue
			}
		}
		out = append(out, d)
	}
	return out
}

// remoteSource returns the least loaded source among other trackers' agents that
// holds a chunk, at random among equals.
func (t *Tracker) remoteSource(now time.Time, open []*remoteDomain, to *peer, chunk int) (*source, *remoteRegion) {
	var best *source
	var region *remoteRegion
	ties := 0
	for _, d := range open {
		for _, s := range d.holders {
			if !s.have.Get(chunk) || s.uploads >= t.cfg.UploadSlots || !s.usable(now) || !to.accepts(now, s.address) || to.bad[chunk] == s.address {
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

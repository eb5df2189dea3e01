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

// remoteDomain is another failure domain as its tracker describes it.
type remoteDomain struct {
	location model.Location
	seen     time.Time
	holders  map[string]*source
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
		if gain == 0 && len(s.Holders) >= 2 {
			break
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

// Remote takes the summary of another failure domain.
func (t *Tracker) Remote(now time.Time, s *wire.HolderSummary) {
	if s.Location.FailureDomain == t.cfg.Location.FailureDomain {
		return
	}
	d, ok := t.remote[s.Location.FailureDomain]
	if !ok {
		d = &remoteDomain{location: s.Location, holders: make(map[string]*source)}
		t.remote[s.Location.FailureDomain] = d
	}
	d.seen = now
	if _, ok := t.regions[s.Location.Region]; !ok {
		t.regions[s.Location.Region] = &remoteRegion{near: s.Location.Region == t.cfg.Location.Region, updated: now}
	}
	named := make(map[string]bool, len(s.Holders))
	for _, h := range s.Holders {
		named[h.Address] = true
		src, ok := d.holders[h.Address]
		if !ok {
			src = &source{address: h.Address}
			d.holders[h.Address] = src
		}
		src.have = h.Have
	}
	for address := range d.holders {
		if !named[address] {
			delete(d.holders, address)
		}
	}
}

// remoteSource returns a source in another failure domain that holds a chunk
// and may be used now.
func (t *Tracker) remoteSource(now time.Time, to *peer, chunk int) (*source, *remoteRegion) {
	var best *source
	var from *remoteRegion
	ties := 0
	for _, d := range t.sortedRemote() {
		r := t.regions[d.location.Region]
		streams := t.cfg.RemoteStreams
		if r.near {
			streams *= nearStreams
		}
		if now.Sub(d.seen) > t.cfg.RemoteTimeout || r.active >= streams {
			continue
		}
		if !r.near && t.cfg.RemoteRate > 0 {
			r.refill(now, t.cfg.RemoteRate, creditChunks*float64(t.cfg.Manifest.Chunks[0].Size))
			if r.credit < 0 {
				continue
			}
		}
		for _, address := range sortedKeys(d.holders) {
			s := d.holders[address]
			if !s.have.Get(chunk) || s.uploads >= t.cfg.UploadSlots || !s.usable(now) || !to.accepts(now, address, chunk) {
				continue
			}
			if best != nil && s.uploads == best.uploads {
				ties++
			}
			if best == nil || s.uploads < best.uploads || s.uploads == best.uploads && t.cfg.Rand.Intn(ties+1) == 0 {
				if best != nil && s.uploads < best.uploads {
					ties = 0
				}
				best, from = s, r
			}
		}
	}
	return best, from
}

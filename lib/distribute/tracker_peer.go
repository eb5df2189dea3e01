package distribute

import (
	"time"

	"github.com/auburnbend/auburnbend/lib/model"
	"github.com/auburnbend/auburnbend/lib/weights"
)

const (
	// maxCorruptShare is the average share of corrupt chunks at which a source
	// is avoided. Four corrupt chunks in a row reach it; a few percent on a bad
	// link do not.
	maxCorruptShare = 0.5
	// corruptSampleWeight is the weight of one chunk in that average.
	corruptSampleWeight = 0.2
)

// source is the state of a source of chunks other than the origin.
type source struct {
	address string
	have    weights.Bitmap
	// uploads is the number of active grants that name the source.
	uploads int
	// corruptShare is the moving average of the share of corrupt chunks.
	corruptShare float64
	avoidedUntil time.Time
}

func (s *source) recordDelivery() { s.corruptShare *= 1 - corruptSampleWeight }

func (s *source) recordCorrupt(now time.Time, avoidFor time.Duration) {
	s.corruptShare += corruptSampleWeight * (1 - s.corruptShare)
	if s.corruptShare >= maxCorruptShare {
		s.avoidedUntil = now.Add(avoidFor)
	}
}

func (s *source) usable(now time.Time) bool { return !now.Before(s.avoidedUntil) }

// minSourceBackoff is how long an agent avoids a source after the first
// failure. A busy machine causes failures as well, so only repeated ones lead
// to long waits.
const minSourceBackoff = time.Second

// blockedSource is a source whose transfer to one agent failed.
type blockedSource struct {
	until   time.Time
	backoff time.Duration
}

// blockSource stops assigning a source to this agent for a time that doubles
// with each consecutive failure, up to maxBackoff.
func (p *peer) blockSource(now time.Time, address string, maxBackoff time.Duration) {
	b := p.blocked[address]
	b.backoff = min(max(2*b.backoff, minSourceBackoff), maxBackoff)
	b.until = now.Add(b.backoff)
	p.blocked[address] = b
}

// peer is an agent of the tracker's failure domain.
type peer struct {
	source
	generation model.Generation
	heldCount  int // number of chunks set in have
	lastSeen   time.Time
	// window is the number of assignments that the agent accepts at one time.
	window int
	// active maps each chunk in flight to its grant numbers.
	active     map[int][]uint64
	grantCount int
	// originGrants is the number of active grants that name the origin.
	originGrants int
	// blocked holds, by address, the sources that failed for this agent, for
	// example behind a stalled link.
	blocked map[string]blockedSource
	// corruptFrom maps a chunk to the last source that sent it corrupt.
	corruptFrom map[int]string
}

func newPeer(address string, generation model.Generation, chunks int) *peer {
	return &peer{
		source:      source{address: address, have: weights.NewBitmap(chunks)},
		generation:  generation,
		active:      make(map[int][]uint64),
		blocked:     make(map[string]blockedSource),
		corruptFrom: make(map[int]string),
	}
}

func (p *peer) wantsChunks() bool { return p.grantCount < p.window }

func (p *peer) needs(chunk int) bool { return !p.have.Get(chunk) && len(p.active[chunk]) == 0 }

// accepts reports whether a source may be assigned to the agent now.
func (p *peer) accepts(now time.Time, address string) bool {
	return !now.Before(p.blocked[address].until)
}

// avoids reports whether a source is blocked for the agent for long enough that
// another source should be used. A source that was only busy is soon available
// again.
func (p *peer) avoids(now time.Time, address string) bool {
	b := p.blocked[address]
	return b.backoff >= minSourceBackoff && now.Before(b.until)
}

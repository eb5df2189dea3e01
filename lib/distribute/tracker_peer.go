package distribute

import (
	"time"

	"github.com/auburnbend/auburnbend/lib/model"
	"github.com/auburnbend/auburnbend/lib/weights"
)

const (
	// corruptLimit is the moving share of corrupt chunks from which on a source
	// is avoided: four in a row reach it, a few percent on a bad link don't.
	corruptLimit = 0.5
	// corruptWeight is the weight of one chunk in that share.
	corruptWeight = 0.2
)

// source is what a tracker knows about a place that chunks come from.
type source struct {
	address string
	have    weights.Bitmap
	// uploads is the number of active grants that name the source.
	uploads int
	// corrupt is the moving share of corrupt chunks.
	corrupt      float64
	avoidedUntil time.Time
}

func (s *source) delivered() { s.corrupt *= 1 - corruptWeight }

func (s *source) sentCorrupt(now time.Time, avoidFor time.Duration) {
	s.corrupt += corruptWeight * (1 - s.corrupt)
	if s.corrupt >= corruptLimit {
		s.avoidedUntil = now.Add(avoidFor)
	}
}

func (s *source) usable(now time.Time) bool { return !now.Before(s.avoidedUntil) }

// firstBlock is how long a source is left out after its first failure. A busy
// machine causes failures too, so only repeated ones count for long.
const firstBlock = time.Second

// block is a source that failed for one agent.
type block struct {
	until time.Time
	wait  time.Duration
}

// block leaves a source out for this agent. The time doubles up to most with
// each failure in a row.
func (p *peer) block(now time.Time, address string, most time.Duration) {
	b := p.blocked[address]
	b.wait = min(max(2*b.wait, firstBlock), most)
	b.until = now.Add(b.wait)
	p.blocked[address] = b
}

// peer is an agent of the tracker's failure domain.
type peer struct {
	source
	generation model.Generation
	held       int // marks in have
	seen       time.Time
	// window is the number of assignments that the agent wants at one time.
	window int
	// active holds the grant numbers of each chunk that is on its way.
	active map[int][]uint64
	grants int
	// origin is the number of active origin grants.
	origin int
	// blocked holds sources that failed for this agent, such as one behind a
	// stalled link, until the time at which they may be tried again.
	blocked map[string]block
	// bad holds the last source that sent a corrupt copy of a chunk.
	bad map[int]string
}

func newPeer(address string, generation model.Generation, chunks int) *peer {
	return &peer{
		source:     source{address: address, have: weights.NewBitmap(chunks)},
		generation: generation,
		active:     make(map[int][]uint64),
		blocked:    make(map[string]block),
		bad:        make(map[int]string),
	}
}

func (p *peer) hungry() bool { return p.grants < p.window }

func (p *peer) needs(chunk int) bool { return !p.have.Get(chunk) && len(p.active[chunk]) == 0 }

// accepts reports whether a source has not failed for the agent lately.
func (p *peer) accepts(now time.Time, address string) bool {
	return !now.Before(p.blocked[address].until)
}

// failing reports whether a source failed for the agent lately in a way that
// another source should be looked for. A busy one only needs a little time.
func (p *peer) failing(now time.Time, address string) bool {
	b := p.blocked[address]
	return b.wait >= firstBlock && now.Before(b.until)
}

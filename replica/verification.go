package replica

import (
	"context"
	"slices"
	"time"
)

// verification is one pass over pieces of a version as they are staged at the engine.
type verification struct {
	// stamp is what the engine had loaded when the pass started.
	stamp loadStamp
	// needed marks the pieces that the pass reads. The others count as intact.
	needed   []bool
	intact   []bool
	next     int
	finished time.Time
}

// verify continues the pass of a pending version until all needed pieces have been read
// back or deadline has passed. It starts a new pass for other pieces, or if the engine has
// accepted an order since. It returns nil while the pass is incomplete.
func (r *Replica) verify(ctx context.Context, p *pendingVersion, stamp loadStamp, needed []bool, deadline func() bool) (*verification, error) {
	v := p.verification
	if v == nil || v.stamp != stamp || !slices.Equal(v.needed, needed) {
		v = &verification{stamp: stamp, needed: needed, intact: make([]bool, len(needed))}
		p.verification = v
	}
	reader := p.pieces.newReader()
	defer reader.reset()
	for ; v.next < len(v.intact); v.next++ {
		if !needed[v.next] {
			v.intact[v.next] = true
			continue
		}
		if deadline() {
			return nil, nil
		}
		intact, err := p.pieces.verifyStaged(ctx, reader, v.next)
		if err != nil {
			p.verification = nil
			return nil, err
		}
		v.intact[v.next] = intact
		if !intact {
			r.reportCorrupt(engineSource, v.next)
		}
	}
	if v.finished.IsZero() {
		v.finished = r.config.Clock.Now()
	}
	return v, nil
}

// age returns the time since the pass finished, or zero if there was none.
func (v *verification) age(now time.Time) time.Duration {
	if v == nil || v.finished.IsZero() {
		return 0
	}
	return now.Sub(v.finished)
}

// firstCorrupt returns the first piece that was not intact, of those that have been read,
// or -1.
func (v *verification) firstCorrupt() int { return slices.Index(v.intact[:v.next], false) }

// allIntact reports whether every piece was intact.
func (v *verification) allIntact() bool {
	for _, intact := range v.intact {
		if !intact {
			return false
		}
	}
	return true
}

package replica

import (
	"context"
	"time"
)

// verification is one pass over the pieces of a version as they are staged at the engine.
type verification struct {
	// stamp is what the engine had loaded when the pass started.
	stamp    loadStamp
	intact   []bool
	next     int
	finished time.Time
}

// verify continues the pass of a pending version until all pieces have been read back or
// deadline has passed. It starts a new pass if the engine has accepted an order since.
// It returns nil while the pass is incomplete.
func (r *Replica) verify(ctx context.Context, p *pendingVersion, stamp loadStamp, deadline func() bool) (*verification, error) {
	v := p.verification
	if v == nil || v.stamp != stamp {
		v = &verification{stamp: stamp, intact: make([]bool, len(p.pieces.manifest.Digests))}
		p.verification = v
	}
	for ; v.next < len(v.intact); v.next++ {
		if deadline() {
			return nil, nil
		}
		intact, err := p.pieces.verifyStaged(ctx, v.next)
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

// allIntact reports whether every piece was intact.
func (v *verification) allIntact() bool {
	for _, intact := range v.intact {
		if !intact {
			return false
		}
	}
	return true
}

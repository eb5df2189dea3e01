package admit

import (
	"math"
	"time"
)

// demandWindow is the time constant for comparing a tenant's started and
// refused tokens. It is longer than a burst of a tenant within its share.
const demandWindow = 10 * time.Second

// demand tracks the started and refused tokens of one tenant, with exponential
// decay.
type demand struct {
	started, refused float64 // decayed token counts
	updatedAt        time.Time
}

func (d *demand) advance(now time.Time) {
	if !d.updatedAt.IsZero() {
		decay := math.Exp(-now.Sub(d.updatedAt).Seconds() / demandWindow.Seconds())
		d.started *= decay
		d.refused *= decay
	}
	d.updatedAt = now
}

func (d *demand) addStarted(now time.Time, tokens int) {
	d.advance(now)
	d.started += float64(tokens)
}

func (d *demand) addRefused(now time.Time, tokens int) {
	d.advance(now)
	d.refused += float64(tokens)
}

// overloading reports whether more tokens were refused than started, which
// means that the tenant sends more than twice what it is served.
func (d *demand) overloading() bool { return d.refused > d.started }

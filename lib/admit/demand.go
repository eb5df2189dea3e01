package admit

import (
	"math"
	"time"
)

// demandWindow is the time over which started and refused tokens of a tenant
// are compared. It is longer than a burst of a tenant within its share.
const demandWindow = 10 * time.Second

// demand compares what a tenant was given with what it was refused.
type demand struct {
	started, refused float64 // tokens, decaying
	at               time.Time
}

func (d *demand) advance(now time.Time) {
	if !d.at.IsZero() {
		decay := math.Exp(-now.Sub(d.at).Seconds() / demandWindow.Seconds())
		d.started *= decay
		d.refused *= decay
	}
	d.at = now
}

func (d *demand) start(now time.Time, tokens int) {
	d.advance(now)
	d.started += float64(tokens)
}

func (d *demand) refuse(now time.Time, tokens int) {
	d.advance(now)
	d.refused += float64(tokens)
}

// excessive reports whether more is refused than started: the tenant sends more
// than twice what it is given.
func (d *demand) excessive() bool { return d.refused > d.started }

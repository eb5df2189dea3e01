package placement

import (
	"time"

	"github.com/auburnbend/auburnbend/lib/directory"
)

// maxAvoided bounds the ejected servers that an entry excludes in a placement
// request to another entry, maxPaused those that have asked for a pause.
const (
	maxAvoided = 12
	maxPaused  = 8
)

// Avoided returns the servers of a service that this entry does not use, so that
// another entry which places its requests does not use them either: those that have
// asked for a pause, and the ejected ones. If more than Config.MaxEjectedShare of
// the servers are ejected, the ejected ones are left out, as the fault is then
// probably not theirs.
func (p *Picker) Avoided(service string, now time.Time) []directory.Key {
	if !now.Before(p.pausesUntil) && !now.Before(p.ejectionsUntil) {
		return nil
	}
	var avoided, paused []directory.Key
	listed := p.directory.ByService(service)
	for _, listing := range listed {
		switch s := p.servers[listing.Key()]; {
		case s == nil:
		case s.paused(now):
			paused = append(paused, listing.Key())
		case s.ejected(now):
			avoided = append(avoided, listing.Key())
		}
	}
	if float64(len(avoided)) > p.config.MaxEjectedShare*float64(len(listed)) {
		avoided = nil
	}
	return append(paused[:min(len(paused), maxPaused)], avoided[:min(len(avoided), maxAvoided)]...)
}

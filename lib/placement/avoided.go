package placement

import (
	"time"

	"github.com/auburnbend/auburnbend/lib/directory"
)

// maxAvoided bounds the ejected servers that an entry names to another one, and
// maxPaused those that want a pause.
const (
	maxAvoided = 12
	maxPaused  = 8
)

// Avoided returns the servers of a service from which this entry keeps away, so
// that another one that places its requests does as well: those that want a pause,
// and ejected ones unless they are too many to be believed.
func (p *Picker) Avoided(service string, now time.Time) []directory.Key {
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

package placement

import (
	"time"

	"github.com/auburnbend/auburnbend/lib/directory"
)

// maxAvoided bounds the servers that an entry names to another one.
const maxAvoided = 12

// Avoided returns the servers of a service from which this entry keeps away, so
// that another one that places its requests does as well. Where they are too many
// to be believed it returns none.
func (p *Picker) Avoided(service string, now time.Time) []directory.Key {
	var avoided []directory.Key
	listed := p.directory.Service(service)
	for _, listing := range listed {
		if s := p.servers[listing.Key()]; s != nil && s.ejected(now) {
			avoided = append(avoided, listing.Key())
		}
	}
	if float64(len(avoided)) > p.config.MaxEjectedShare*float64(len(listed)) {
		return nil
	}
	return avoided[:min(len(avoided), maxAvoided)]
}

package directory

import (
	"maps"
	"time"
)

// withheld is a server that is not listed although the table of a restored store has its
// row, and when it is listed unless the row has changed.
type withheld struct {
	server *Server
	until  time.Time
}

// Restore replaces the listed servers by the full list of a store that was restored from an
// earlier state. Servers whose rows are missing stay for ExpiryGrace: they may have been
// written after that state, and are written again. A row may be back that had been deleted
// or replaced. Its server is listed once the row has been written anew, or after
// removalTime, the longest time in which the store removes the row of a silent server.
func (d *Directory) Restore(servers []*Server, removalTime time.Duration, now time.Time) {
	clear(d.withheld)
	// Starts whose rows the store has lost may have been missed.
	d.firstStarts.follow(true, now)
	listed := make(map[string]*Server, len(servers))
	for _, s := range servers {
		if d.hasEnded(s) {
			d.withheld[s.ID] = withheld{server: s, until: now.Add(removalTime)}
			continue
		}
		listed[s.ID] = s
	}
	for id := range d.servers {
		if listed[id] == nil {
			d.remove(id, true, now)
		}
	}
	for _, s := range listed {
		if old := d.servers[s.ID]; old != nil && old.Key() == s.Key() {
			s = s.keepLater(old)
		}
		d.list(s, now)
	}
}

// keepLater returns the server with what old, an earlier listing of it, shows to have happened
// after the state that its row describes: a drain is not revoked, and engines take only newer
// versions of weights. Without a start, it may be another incarnation with other weights.
func (s *Server) keepLater(old *Server) *Server {
	merged := *s
	merged.Draining = s.Draining || old.Draining
	if s.StartUnixMilli == 0 {
		return &merged
	}
	merged.Weights = make(map[string]Weights, len(s.Weights))
	maps.Copy(merged.Weights, s.Weights)
	for model, known := range old.Weights {
		if known.Version > merged.Weights[model].Version {
			merged.Weights[model] = known
		}
	}
	return &merged
}

// hasEnded reports whether a row of a restored store is one that had been deleted or
// replaced. What was written since the restore may have a lower revision than rows had
// before, so that such a row may be taken for an old one.
func (d *Directory) hasEnded(s *Server) bool {
	if e, known := d.ended[s.Key()]; known && s.Revision <= e.revision {
		return true
	}
	old := d.servers[s.ID]
	return old != nil && old.StartUnixMilli > s.StartUnixMilli
}

// dropWithheld returns the servers of a full list without those that are still withheld.
func (d *Directory) dropWithheld(servers []*Server) []*Server {
	if len(d.withheld) == 0 {
		return servers
	}
	before := d.withheld
	d.withheld = make(map[string]withheld)
	var rest []*Server
	for _, s := range servers {
		if w, known := before[s.ID]; known && w.server.sameRow(s) {
			d.withheld[s.ID] = w
			continue
		}
		rest = append(rest, s)
	}
	return rest
}

// listWithheld lists the servers whose time has passed.
func (d *Directory) listWithheld(now time.Time) {
	for id, w := range d.withheld {
		if !now.Before(w.until) {
			delete(d.withheld, id)
			d.list(w.server, now)
		}
	}
}

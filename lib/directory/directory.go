package directory

import (
	"slices"
	"time"
)

// ExpiryGrace is how long a server whose row vanished while the store was
// unavailable stays in use after the store has recovered. The rows of live servers
// are back within about two seconds.
const ExpiryGrace = 2 * time.Second

// Directory is the set of registered backend servers, as one instance knows it. It
// is not safe for concurrent use.
type Directory struct {
	servers map[string]*Server
	// expiring holds servers without a row, and when they are dropped.
	expiring map[string]time.Time
	// draining holds the incarnations that are known to be draining.
	draining map[Key]Evidence
	// ended holds the incarnations whose rows are gone, withheld the servers by ID that are
	// not listed although a restored store has their rows.
	ended    map[Key]endedRow
	withheld map[string]withheld
	// drainedByRow holds the incarnations that TakeDrainedByRow returns next.
	drainedByRow []Key
	// services are the declared services; nil if they are not known.
	services map[string]bool
	// byService caches the servers of each service, byAddress the latest incarnation at
	// each address. Both are nil after a change.
	byService   map[string][]*Server
	byAddress   map[string]*Server
	firstStarts firstStarts
	// generation counts the changes of the listed servers.
	generation uint64
}

// New returns an empty Directory.
func New() *Directory {
	return &Directory{
		servers: make(map[string]*Server), expiring: make(map[string]time.Time), draining: make(map[Key]Evidence),
		ended: make(map[Key]endedRow), withheld: make(map[string]withheld),
		firstStarts: firstStarts{byID: make(map[string]int64)},
	}
}

// SetServices sets the names of the declared services. Rows of other services may come
// from other writers. Their servers stay listed, as a service may be declared later, and
// say nothing about other servers. Until the first call, all services count as declared.
func (d *Directory) SetServices(names []string) {
	d.services = make(map[string]bool, len(names))
	for _, name := range names {
		d.services[name] = true
	}
	d.invalidate()
}

// declared reports whether the service of a server is declared.
func (d *Directory) declared(s *Server) bool { return d.services == nil || d.services[s.Service] }

// Replace replaces the listed servers by a full list. recovered is set if an outage
// of the store has just ended: servers whose rows may have expired during it stay
// for ExpiryGrace, also if a further full list lacks them meanwhile.
func (d *Directory) Replace(servers []*Server, recovered bool, now time.Time) {
	servers = d.dropWithheld(servers)
	d.firstStarts.follow(recovered, now)
	listed := make(map[string]*Server, len(servers))
	for _, s := range servers {
		listed[s.ID] = s
	}
	scan := d.scanOutage(func(old *Server) bool {
		s := listed[old.ID]
		return s != nil && s.sameRow(old)
	})
	for id, s := range d.servers {
		if listed[id] == nil {
			_, expiring := d.expiring[id]
			d.remove(id, expiring || recovered && scan.mayHaveExpired(s.Domain), now)
		}
	}
	for _, s := range servers {
		d.list(s, now)
	}
}

// Change is the change of one row.
type Change struct {
	ID string
	// Server is the server that the row describes; nil if the row is deleted or
	// unreadable.
	Server *Server
	// Invalid is set if the row exists and does not describe a usable server.
	Invalid bool
}

// Apply applies changes in order. recovered has the same meaning as in Replace.
func (d *Directory) Apply(changes []Change, recovered bool, now time.Time) {
	d.firstStarts.follow(recovered, now)
	deleted := make(map[string]bool)
	for _, c := range changes {
		if c.Server == nil {
			deleted[c.ID] = true
		}
	}
	scan := d.scanOutage(func(old *Server) bool { return !deleted[old.ID] })
	for _, c := range changes {
		_, withheld := d.withheld[c.ID]
		delete(d.withheld, c.ID)
		switch s := d.servers[c.ID]; {
		case c.Server != nil:
			d.list(c.Server, now)
		case withheld && !c.Invalid:
			// The deleted row is not that of the listed incarnation, whose grace period goes on.
		case s != nil:
			d.remove(c.ID, recovered && !c.Invalid && scan.mayHaveExpired(s.Domain), now)
		}
	}
}

// Put adds or updates a server. It is listed as draining if its incarnation is known
// to be.
func (d *Directory) Put(s *Server) {
	if _, known := d.draining[s.Key()]; known && !s.Draining {
		draining := *s
		draining.Draining = true
		s = &draining
	}
	d.servers[s.ID] = s
	delete(d.expiring, s.ID)
	d.invalidate()
}

// Update replaces a listed server with one that also reflects other sources than its
// row. It does not add a server, so that one whose row is gone stays unlisted. It keeps
// the caches, as each engine causes an update in a rollout.
func (d *Directory) Update(s *Server) {
	old := d.servers[s.ID]
	if old == nil {
		return
	}
	d.servers[s.ID] = s
	if old.Service != s.Service || old.Address != s.Address || old.StartUnixMilli != s.StartUnixMilli {
		d.invalidate()
		return
	}
	d.generation++
	if d.byAddress[s.Address] == old {
		d.byAddress[s.Address] = s
	}
	if i := slices.Index(d.byService[s.Service], old); i >= 0 {
		d.byService[s.Service][i] = s
	}
}

// Remove records that the row of a server is deleted. recovered has the same meaning
// as in Replace.
func (d *Directory) Remove(id string, recovered bool, now time.Time) {
	d.Apply([]Change{{ID: id}}, recovered, now)
}

// remove drops a server, or keeps it for ExpiryGrace if its row may have expired
// during an outage.
func (d *Directory) remove(id string, mayHaveExpired bool, now time.Time) {
	s := d.servers[id]
	if !mayHaveExpired || s.Draining {
		d.drop(id, now)
		return
	}
	if _, known := d.expiring[id]; !known {
		d.expiring[id] = now.Add(ExpiryGrace)
	}
}

func (d *Directory) drop(id string, now time.Time) {
	if s := d.servers[id]; s != nil {
		d.rememberEnded(s, now)
	}
	delete(d.servers, id)
	delete(d.expiring, id)
	d.invalidate()
}

// invalidate drops the caches after a change.
func (d *Directory) invalidate() {
	d.byService, d.byAddress = nil, nil
	d.generation++
}

// Generation returns a number that differs after each change of the listed servers.
func (d *Directory) Generation() uint64 { return d.generation }

// Expire drops the servers whose grace period has ended, and lists those that were withheld
// long enough.
func (d *Directory) Expire(now time.Time) {
	for id, until := range d.expiring {
		if !now.Before(until) {
			d.drop(id, now)
		}
	}
	d.listWithheld(now)
}

// ByService returns the servers of a service, including draining ones. The slice
// must not be modified.
func (d *Directory) ByService(name string) []*Server {
	if d.byService == nil {
		d.byService = make(map[string][]*Server)
		for _, s := range d.servers {
			d.byService[s.Service] = append(d.byService[s.Service], s)
		}
	}
	return d.byService[name]
}

// ByAddress returns the server of a declared service at an address, or nil. Of several,
// it is the one that started last.
func (d *Directory) ByAddress(address string) *Server {
	if d.byAddress == nil {
		d.byAddress = make(map[string]*Server, len(d.servers))
		for _, s := range d.servers {
			if !d.declared(s) {
				continue
			}
			if found := d.byAddress[s.Address]; found == nil || s.StartUnixMilli > found.StartUnixMilli {
				d.byAddress[s.Address] = s
			}
		}
	}
	return d.byAddress[address]
}

// Get returns the listed server with the key, or nil.
func (d *Directory) Get(k Key) *Server {
	if s := d.servers[k.ID]; s != nil && s.StartUnixMilli == k.StartUnixMilli {
		return s
	}
	return nil
}

// ForEach calls f for each listed server, in no particular order.
func (d *Directory) ForEach(f func(*Server)) {
	for _, s := range d.servers {
		f(s)
	}
}

// Len returns the number of listed servers.
func (d *Directory) Len() int { return len(d.servers) }

package directory

import "time"

// ExpiryGrace is how long a server whose row vanished while the store was away
// stays in use after the store's return: rows of live servers are back within
// about two seconds.
const ExpiryGrace = 2 * time.Second

// Directory is a view of the registered backend servers. It is not safe for
// concurrent use.
type Directory struct {
	servers map[string]*Server
	// lapsed holds servers without a row until the given time.
	lapsed map[string]time.Time
	// leaving are the starts that are believed to leave.
	leaving map[Key]Evidence
	// byService caches the servers of each service, byAddress the last start at
	// each address; nil after a change.
	byService map[string][]*Server
	byAddress map[string]*Server
}

// New returns an empty Directory.
func New() *Directory {
	return &Directory{servers: make(map[string]*Server), lapsed: make(map[string]time.Time), leaving: make(map[Key]Evidence)}
}

// Replace takes a full list. After an outage of the store, servers whose rows may
// have lapsed stay for the grace period.
func (d *Directory) Replace(servers []*Server, recovered bool, now time.Time) {
	listed := make(map[string]*Server, len(servers))
	for _, s := range servers {
		listed[s.ID] = s
	}
	sweep := d.sweepOf(func(old *Server) bool {
		s := listed[old.ID]
		return s != nil && s.Revision == old.Revision
	})
	for id, s := range d.servers {
		if listed[id] == nil {
			d.remove(id, recovered && sweep.took(s.Domain), now)
		}
	}
	for _, s := range servers {
		d.Put(s)
	}
}

// Change is a change of one row.
type Change struct {
	ID string
	// Server is what the row tells; nil if it is gone.
	Server *Server
	// Unreadable tells that the row is there and names no server to use.
	Unreadable bool
}

// Apply takes changes in order, with the same care as Replace.
func (d *Directory) Apply(changes []Change, recovered bool, now time.Time) {
	gone := make(map[string]bool)
	for _, c := range changes {
		if c.Server == nil {
			gone[c.ID] = true
		}
	}
	sweep := d.sweepOf(func(old *Server) bool { return !gone[old.ID] })
	for _, c := range changes {
		switch s := d.servers[c.ID]; {
		case c.Server != nil:
			d.Put(c.Server)
		case s != nil:
			d.remove(c.ID, recovered && !c.Unreadable && sweep.took(s.Domain), now)
		}
	}
}

// Put adds or updates a server. One that is believed to leave counts as draining.
func (d *Directory) Put(s *Server) {
	if _, leaves := d.leaving[s.Key()]; leaves && !s.Draining {
		leaving := *s
		leaving.Draining = true
		s = &leaving
	}
	d.servers[s.ID] = s
	delete(d.lapsed, s.ID)
	d.changed()
}

// Update changes what is known of a listed server from another source than its row.
// A server whose row is gone is not brought back.
func (d *Directory) Update(s *Server) {
	if d.servers[s.ID] == nil {
		return
	}
	d.servers[s.ID] = s
	d.changed()
}

// Remove takes note that a server's row is gone. recovered tells that the store was
// away before.
func (d *Directory) Remove(id string, recovered bool, now time.Time) {
	d.Apply([]Change{{ID: id}}, recovered, now)
}

// remove drops a server, or keeps it for a while if its row may have lapsed.
func (d *Directory) remove(id string, lapsed bool, now time.Time) {
	s := d.servers[id]
	if !lapsed || s.Draining {
		d.drop(id)
		return
	}
	if _, known := d.lapsed[id]; !known {
		d.lapsed[id] = now.Add(ExpiryGrace)
	}
}

func (d *Directory) drop(id string) {
	delete(d.servers, id)
	delete(d.lapsed, id)
	d.changed()
}

// changed drops what is derived from the servers.
func (d *Directory) changed() { d.byService, d.byAddress = nil, nil }

// Expire drops the servers whose grace has ended.
func (d *Directory) Expire(now time.Time) {
	for id, until := range d.lapsed {
		if !now.Before(until) {
			d.drop(id)
		}
	}
}

// ByService returns the servers of a service, draining ones too. The slice must
// not be changed.
func (d *Directory) ByService(name string) []*Server {
	if d.byService == nil {
		d.byService = make(map[string][]*Server)
		for _, s := range d.servers {
			d.byService[s.Service] = append(d.byService[s.Service], s)
		}
	}
	return d.byService[name]
}

// ByAddress returns the server at an address, or nil. Of several, it is the one that
// started last.
func (d *Directory) ByAddress(address string) *Server {
	if d.byAddress == nil {
		d.byAddress = make(map[string]*Server, len(d.servers))
		for _, s := range d.servers {
			if found := d.byAddress[s.Address]; found == nil || s.StartUnixMilli > found.StartUnixMilli {
				d.byAddress[s.Address] = s
			}
		}
	}
	return d.byAddress[address]
}

// Get returns the listed start with the key, or nil.
func (d *Directory) Get(k Key) *Server {
	if s := d.servers[k.ID]; s != nil && s.StartUnixMilli == k.StartUnixMilli {
		return s
	}
	return nil
}

// ForEach calls f for each server.
func (d *Directory) ForEach(f func(*Server)) {
	for _, s := range d.servers {
		f(s)
	}
}

// Len returns the number of servers.
func (d *Directory) Len() int { return len(d.servers) }

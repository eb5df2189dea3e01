// Package member keeps the live view of entries and agents that one process
// has. The platform's list only seeds it: liveness comes from the process's own
// connections, because the list lags.
//
// A View takes events with their time and returns what changed. It is not safe
// for concurrent use; its owner is one goroutine or a mutex of the assembly.
package member

import (
	"slices"
	"time"

	"github.com/auburnbend/auburnbend/lib/backing"
	"github.com/auburnbend/auburnbend/lib/model"
	"github.com/auburnbend/auburnbend/lib/wire"
)

// View is the set of members that a process knows.
type View struct {
	cfg     Config
	members map[model.InstanceID]*entry
	conns   map[ConnID]*connection
	retired retiredSet
	fault   faultDetector
}

// New returns an empty view.
func New(cfg Config) *View {
	cfg.applyDefaults()
	return &View{
		cfg:     cfg,
		members: make(map[model.InstanceID]*entry),
		conns:   make(map[ConnID]*connection),
		retired: make(retiredSet),
	}
}

// Member returns one member.
func (v *View) Member(id model.InstanceID) (Member, bool) {
	e, ok := v.members[id]
	if !ok {
		return Member{}, false
	}
	return e.Member, true
}

// Members returns all members of a role in order of their ids, including those
// that are only listed. The subset of connections is calculated from them.
func (v *View) Members(role backing.InstanceRole) []Member {
	var out []Member
	for _, e := range v.members {
		if e.Role == role && e.State != StateGone {
			out = append(out, e.Member)
		}
	}
	slices.SortFunc(out, func(a, b Member) int {
		if a.Identity.Instance < b.Identity.Instance {
			return -1
		}
		return 1
	})
	return out
}

// GoneListed returns the members of a role that are gone and that the platform lists
// all the same: they may have come back.
func (v *View) GoneListed(role backing.InstanceRole) []Member {
	var out []Member
	for _, e := range v.members {
		if e.Role == role && e.State == StateGone && e.listed {
			out = append(out, e.Member)
		}
	}
	return out
}

// LiveIDs returns the ids of the members of a role in a failure domain that have a
// working connection and are not draining, in order: the input of rendezvous
// hashing for roles.
func (v *View) LiveIDs(role backing.InstanceRole, domain model.FailureDomain) []model.InstanceID {
	var out []model.InstanceID
	for id, e := range v.members {
		if e.Role == role && e.State == StateLive && !e.Draining && e.Identity.Location.FailureDomain == domain {
			out = append(out, id)
		}
	}
	slices.Sort(out)
	return out
}

// ApplyList takes the platform's list. It adds members that are not known and
// removes listed members that it no longer shows. It changes nothing about a
// member with a working connection: the list may be older than what the
// connections tell. A member that has no working connection and was on the list
// before is gone when the list does not show it. A member that is gone and still
// listed is reported each time: the assembly may try a new connection. An
// instance that the list shows as leaving is not added.
func (v *View) ApplyList(now time.Time, instances []backing.Instance) []Event {
	var events []Event
	shown := make(map[model.InstanceID]bool, len(instances))
	for _, in := range instances {
		shown[in.ID] = true
		e, ok := v.members[in.ID]
		if ok {
			if e.State == StateListed || e.State == StateGone {
				e.Identity.Address = in.Address
				if in.Pool != "" {
					e.Pool = in.Pool
				}
				e.Draining = e.Draining || (in.Leaving && e.State == StateListed)
			}
			e.listed = true
			if e.State == StateGone && !in.Leaving {
				events = append(events, Event{Kind: Listed, Instance: in.ID})
			}
			continue
		}
		if in.Leaving {
			continue
		}
		e = &entry{listed: true}
		e.Role = in.Role
		e.Pool = in.Pool
		e.Identity = model.Identity{Instance: in.ID, Location: in.Location, Address: in.Address}
		v.members[in.ID] = e
		events = append(events, Event{Kind: Listed, Instance: in.ID})
	}
	for id, e := range v.members {
		if shown[id] {
			continue
		}
		if e.State == StateProbing && e.listed {
			events = append(events, v.leave(now, e)...)
		}
		e.listed = false
		// The generation of a member that is gone is kept for a while, so that it
		// is known as replaced when another one connects.
		if e.State == StateListed || (e.State == StateGone && now.Sub(e.goneAt) > retiredFor) {
			delete(v.members, id)
		}
	}
	sortEvents(events)
	return events
}

// Connected takes a finished handshake. A generation that the view does not
// know replaces the one that it knows; a generation that was replaced is
// refused with ErrRetired.
func (v *View) Connected(now time.Time, conn ConnID, hello wire.Hello) ([]Event, error) {
	if _, ok := v.conns[conn]; ok {
		return nil, ErrDuplicateConn
	}
	id, generation := hello.Identity.Instance, hello.Identity.Generation
	if v.retired.contains(id, generation) {
		return nil, ErrGenerationReplaced
	}
	events := v.replaceAddress(now, hello.Identity)
	e, ok := v.members[id]
	if !ok {
		e = &entry{}
		v.members[id] = e
	}
	known := e.State == StateLive || e.State == StateProbing
	switch {
	case known && e.Identity.Generation == generation:
		if e.State == StateProbing {
			events = append(events, Event{Kind: Restored, Instance: id, Generation: generation})
		}
	case known:
		events = append(events, Event{Kind: Left, Instance: id, Generation: e.Identity.Generation})
		v.retire(now, e)
		events = append(events, Event{Kind: Joined, Instance: id, Generation: generation})
	default:
		if e.State == StateGone && e.Identity.Generation != generation {
			v.retire(now, e)
		}
		events = append(events, Event{Kind: Joined, Instance: id, Generation: generation})
	}
	if e.Identity.Generation != generation {
		// A sign of leaving belongs to the generation that gave it.
		e.Draining = false
	}
	if e.State != StateLive || e.Identity.Generation != generation {
		e.HeartbeatAt = time.Time{}
	}
	e.Identity = hello.Identity
	e.Pool = hello.Pool
	e.Role = backing.RoleAgent
	if hello.Role == wire.RoleEntry {
		e.Role = backing.RoleEntry
	}
	e.State = StateLive
	e.conns++
	e.probeFailures = 0
	e.probeSince = time.Time{}
	v.conns[conn] = &connection{instance: id, generation: generation, heard: now}
	return append(events, v.fault.connected(now, v.cfg)...), nil
}

// retire makes the current generation of a member an old one and forgets its
// connections.
func (v *View) retire(now time.Time, e *entry) {
	v.retired.add(now, e.Identity.Instance, e.Identity.Generation)
	for id, c := range v.conns {
		if c.instance == e.Identity.Instance {
			delete(v.conns, id)
		}
	}
	e.conns = 0
}

// replaceAddress ends the member that another instance replaces at its address.
func (v *View) replaceAddress(now time.Time, newer model.Identity) []Event {
	var events []Event
	for id, e := range v.members {
		if id == newer.Instance || e.Identity.Address != newer.Address || newer.Address == "" {
			continue
		}
		if e.State == StateLive || e.State == StateProbing {
			events = append(events, Event{Kind: Left, Instance: id, Generation: e.Identity.Generation})
		}
		if e.State != StateListed {
			v.retire(now, e)
		}
		e.State, e.goneAt = StateGone, now
	}
	sortEvents(events)
	return events
}

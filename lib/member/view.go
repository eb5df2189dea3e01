// Package member tracks the entries and agents that one process knows and whether
// they are alive. Members are discovered from the platform's instance list, but
// liveness is determined from the process's own connections, because the list
// lags behind.
//
// A View is passed events together with the current time and returns the resulting
// changes. It performs no I/O and is not safe for concurrent use.
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
	cfg       Config
	members   map[model.InstanceID]*memberState
	conns     map[ConnID]*connection
	replaced  replacedSet
	pathFault pathFaultDetector
}

// New returns an empty view.
func New(cfg Config) *View {
	cfg.applyDefaults()
	return &View{
		cfg:      cfg,
		members:  make(map[model.InstanceID]*memberState),
		conns:    make(map[ConnID]*connection),
		replaced: make(replacedSet),
	}
}

// Member returns the member with the given ID.
func (v *View) Member(id model.InstanceID) (Member, bool) {
	m, ok := v.members[id]
	if !ok {
		return Member{}, false
	}
	return m.Member, true
}

// Members returns the members of a role that are not gone, sorted by ID, including
// those that are only listed. The subset of agents that an entry connects to is
// computed from them.
func (v *View) Members(role backing.InstanceRole) []Member {
	var out []Member
	for _, m := range v.members {
		if m.Role == role && m.State != StateGone {
			out = append(out, m.Member)
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

// GoneListed returns the members of a role that are gone but still on the
// platform's instance list. They may have come back.
func (v *View) GoneListed(role backing.InstanceRole) []Member {
	var out []Member
	for _, m := range v.members {
		if m.Role == role && m.State == StateGone && m.listed {
			out = append(out, m.Member)
		}
	}
	return out
}

// LiveIDs returns the sorted IDs of the members of a role in a failure domain that
// have a working connection and are not draining. It is the input of rendezvous
// hashing.
func (v *View) LiveIDs(role backing.InstanceRole, domain model.FailureDomain) []model.InstanceID {
	var out []model.InstanceID
	for id, m := range v.members {
		if m.Role == role && m.State == StateLive && !m.Draining && m.Identity.Location.FailureDomain == domain {
			out = append(out, id)
		}
	}
	slices.Sort(out)
	return out
}

// ApplyList updates the view from the platform's instance list:
//   - Unknown instances are added, unless the list marks them as leaving.
//   - Members that are only listed are removed if the list no longer contains them.
//   - Members with a working connection are not changed, because the list may be
//     older than the information from connections.
//   - Probing members that were on the list before and no longer are become gone.
//   - Members that are gone and still listed are reported with a Listed event on
//     each call, so that the owner may try a new connection.
func (v *View) ApplyList(now time.Time, instances []backing.Instance) []Event {
	var events []Event
	onList := make(map[model.InstanceID]bool, len(instances))
	for _, in := range instances {
		onList[in.ID] = true
		m, ok := v.members[in.ID]
		if ok {
			if m.State == StateListed || m.State == StateGone {
				m.Identity.Address = in.Address
				if in.Pool != "" {
					m.Pool = in.Pool
				}
				m.Draining = m.Draining || (in.Leaving && m.State == StateListed)
			}
			m.listed = true
			if m.State == StateGone && !in.Leaving {
				events = append(events, Event{Kind: Listed, Instance: in.ID})
			}
			continue
		}
		if in.Leaving {
			continue
		}
		m = &memberState{listed: true}
		m.Role = in.Role
		m.Pool = in.Pool
		m.Identity = model.Identity{Instance: in.ID, Location: in.Location, Address: in.Address}
		v.members[in.ID] = m
		events = append(events, Event{Kind: Listed, Instance: in.ID})
	}
	for id, m := range v.members {
		if onList[id] {
			continue
		}
		if m.State == StateReconnecting && m.listed {
			events = append(events, v.markGone(now, m)...)
		}
		m.listed = false
		// The generation of a member that is gone is remembered for a while, so
		// that it is recognized as replaced when another one connects.
		if m.State == StateListed || (m.State == StateGone && now.Sub(m.goneAt) > replacedRetention) {
			delete(v.members, id)
		}
	}
	sortEvents(events)
	return events
}

// Connected processes a completed handshake. A new generation replaces the known
// generation of the same instance. Connected returns ErrGenerationReplaced for a
// generation that was replaced before, and ErrDuplicateConn for a connection ID in
// use.
func (v *View) Connected(now time.Time, conn ConnID, hello wire.Hello) ([]Event, error) {
	if _, ok := v.conns[conn]; ok {
		return nil, ErrDuplicateConn
	}
	id, generation := hello.Identity.Instance, hello.Identity.Generation
	if v.replaced.contains(id, generation) {
		return nil, ErrGenerationReplaced
	}
	events := v.replaceAtAddress(now, hello.Identity)
	m, ok := v.members[id]
	if !ok {
		m = &memberState{}
		v.members[id] = m
	}
	known := m.State == StateLive || m.State == StateReconnecting
	switch {
	case known && m.Identity.Generation == generation:
		if m.State == StateReconnecting {
			events = append(events, Event{Kind: Restored, Instance: id, Generation: generation})
		}
	case known:
		events = append(events, Event{Kind: Left, Instance: id, Generation: m.Identity.Generation})
		v.replaceGeneration(now, m)
		events = append(events, Event{Kind: Joined, Instance: id, Generation: generation})
	default:
		if m.State == StateGone && m.Identity.Generation != generation {
			v.replaceGeneration(now, m)
		}
		events = append(events, Event{Kind: Joined, Instance: id, Generation: generation})
	}
	if m.Identity.Generation != generation {
		// Draining applies only to the generation that reported it.
		m.Draining = false
	}
	if m.State != StateLive || m.Identity.Generation != generation {
		m.HeartbeatAt = time.Time{}
	}
	m.Identity = hello.Identity
	m.Pool = hello.Pool
	m.Role = backing.RoleAgent
	if hello.Role == wire.RoleEntry {
		m.Role = backing.RoleEntry
	}
	m.State = StateLive
	m.conns++
	m.dialFailures = 0
	m.disconnectedSince = time.Time{}
	v.conns[conn] = &connection{instance: id, generation: generation, lastFrameAt: now}
	return append(events, v.pathFault.addConnected(now, v.cfg)...), nil
}

// replaceGeneration records the current generation of a member as replaced and drops
// its connections.
func (v *View) replaceGeneration(now time.Time, m *memberState) {
	v.replaced.add(now, m.Identity.Instance, m.Identity.Generation)
	for id, c := range v.conns {
		if c.instance == m.Identity.Instance {
			delete(v.conns, id)
		}
	}
	m.conns = 0
}

// replaceAtAddress marks members as gone if they have the address of a newly
// connected instance.
func (v *View) replaceAtAddress(now time.Time, newer model.Identity) []Event {
	var events []Event
	for id, m := range v.members {
		if id == newer.Instance || m.Identity.Address != newer.Address || newer.Address == "" {
			continue
		}
		if m.State == StateLive || m.State == StateReconnecting {
			events = append(events, Event{Kind: Left, Instance: id, Generation: m.Identity.Generation})
		}
		if m.State != StateListed {
			v.replaceGeneration(now, m)
		}
		m.State, m.goneAt = StateGone, now
	}
	sortEvents(events)
	return events
}

package entry

import (
	"cmp"
	"slices"
	"time"

	"github.com/auburnbend/auburnbend/entry/operatorrpc"
	"github.com/auburnbend/auburnbend/lib/backing"
	"github.com/auburnbend/auburnbend/lib/config"
	"github.com/auburnbend/auburnbend/lib/member"
	"github.com/auburnbend/auburnbend/lib/model"
	"github.com/auburnbend/auburnbend/lib/wire"
)

// status provides this entry's view of the deployment to the operators' interface.
type status struct{ entry *Entry }

var (
	_ operatorrpc.FleetStatus   = status{}
	_ operatorrpc.ConfigReplica = status{}
)

// InForce implements operatorrpc.ConfigReplica.
func (s status) InForce() (*config.View, time.Duration) {
	return s.entry.follower.Current(), s.entry.follower.Age()
}

// ApplyAccepted implements operatorrpc.ConfigReplica.
func (s status) ApplyAccepted(encoded []byte) { s.entry.follower.ApplyAccepted(encoded) }

// Domains implements operatorrpc.FleetStatus.
func (s status) Domains() []operatorrpc.DomainStatus {
	now := s.entry.cfg.Clock.Now()
	domains := make(map[model.FailureDomain]*operatorrpc.DomainStatus)
	add := func(domain model.FailureDomain, head config.Head, age, sinceHeartbeat time.Duration) {
		d := domains[domain]
		if d == nil {
			d = &operatorrpc.DomainStatus{Domain: domain, Lowest: head, Highest: head, ConfigAge: age, SinceHeartbeat: sinceHeartbeat}
			domains[domain] = d
		}
		d.Processes++
		d.SinceHeartbeat = min(d.SinceHeartbeat, sinceHeartbeat)
		if head.Number < d.Lowest.Number {
			d.Lowest = head
		}
		if head.Number > d.Highest.Number || head == d.Highest && age < d.ConfigAge {
			d.Highest, d.ConfigAge = head, age
		}
	}
	if view, age := s.InForce(); view != nil {
		add(s.entry.cfg.Identity.Location.FailureDomain, view.Head, age, 0)
	}
	for _, m := range s.entry.fleet.Members() {
		if m.HeartbeatAt.IsZero() {
			continue
		}
		sinceHeartbeat := now.Sub(m.HeartbeatAt)
		head := config.Head{Number: m.Heartbeat.ConfigRevision, Digest: m.Heartbeat.ConfigDigest}
		age := time.Duration(m.Heartbeat.ConfigAgeMillis)*time.Millisecond + sinceHeartbeat
		add(m.Identity.Location.FailureDomain, head, age, sinceHeartbeat)
	}
	return sortedByDomain(domains)
}

func sortedByDomain(domains map[model.FailureDomain]*operatorrpc.DomainStatus) []operatorrpc.DomainStatus {
	list := make([]operatorrpc.DomainStatus, 0, len(domains))
	for _, d := range domains {
		list = append(list, *d)
	}
	slices.SortFunc(list, func(a, b operatorrpc.DomainStatus) int { return cmp.Compare(a.Domain, b.Domain) })
	return list
}

// Instances implements operatorrpc.FleetStatus.
func (s status) Instances() []operatorrpc.Instance {
	now := s.entry.cfg.Clock.Now()
	var list []operatorrpc.Instance
	for _, m := range s.entry.fleet.Members() {
		i := operatorrpc.Instance{
			Identity: m.Identity,
			Role:     wire.RoleAgent,
			Pool:     m.Pool,
			State:    stateName(m),
			Revision: m.Heartbeat.ConfigRevision,
			Weights:  m.Heartbeat.LiveWeights,
			Running:  m.Heartbeat.Load.Running,
			Queued:   m.Heartbeat.Load.Queued,
		}
		if m.Role == backing.RoleEntry {
			i.Role = wire.RoleEntry
		}
		if !m.HeartbeatAt.IsZero() {
			i.SinceHeartbeat = now.Sub(m.HeartbeatAt)
		}
		list = append(list, i)
	}
	return list
}

// stateName returns the state of a member as operators see it.
func stateName(m member.Member) string {
	switch {
	case m.Draining:
		return "draining"
	case m.State == member.StateLive:
		return "live"
	case m.State == member.StateReconnecting:
		return "silent"
	case m.State == member.StateGone:
		return "gone"
	default:
		return "not_connected"
	}
}

// Rollouts implements operatorrpc.FleetStatus. The first call only requests the reports
// of other entries, so its result may be incomplete. Later calls include them.
func (s status) Rollouts() []operatorrpc.Rollout {
	e := s.entry
	e.reports.request()
	c := e.Current()
	if c == nil {
		return nil
	}
	statuses := e.reports.merge(e.trackers.Report())
	var list []operatorrpc.Rollout
	for _, p := range c.Placements {
		m, ok := c.FindModel(p.Model, p.Version)
		if !ok {
			continue
		}
		r := operatorrpc.Rollout{
			Model: p.Model, Version: p.Version, Domain: p.FailureDomain, Pool: p.Pool,
			DesiredInstances: e.desiredInstances(p), Phases: make(map[wire.Phase]int),
		}
		for _, i := range statuses {
			if i.Domain != p.FailureDomain || i.Status.Manifest != m.Manifest {
				continue
			}
			r.Phases[i.Status.Phase]++
			r.OriginBytes += i.Status.OriginBytes
			r.PeerBytes += i.Status.PeerBytes
		}
		r.TotalBytes = int64(r.DesiredInstances) * m.Bytes
		list = append(list, r)
	}
	return list
}

// desiredInstances returns the number of instances that should serve a placement: its
// Replicas, or else all known agents of the pool that are not draining.
func (e *Entry) desiredInstances(p config.Placement) int {
	if p.Replicas > 0 {
		return p.Replicas
	}
	n := 0
	for _, m := range e.fleet.Members() {
		if m.Role == backing.RoleAgent && m.Pool == p.Pool && !m.Draining &&
			m.Identity.Location.FailureDomain == p.FailureDomain && m.State != member.StateGone {
			n++
		}
	}
	return n
}

package tracker

import (
	"slices"
	"strings"

	"github.com/auburnbend/auburnbend/lib/model"
	"github.com/auburnbend/auburnbend/lib/rollout"
	"github.com/auburnbend/auburnbend/lib/wire"
)

// handleStatus records the phase of an instance and updates its load permit.
func (s *Service) handleStatus(session *Session, m *wire.TransferStatus) {
	from := session.identity
	s.touchVersion(m.Manifest).statuses[from.Instance] = wire.InstanceStatus{
		Instance: from.Instance, Domain: from.Location.FailureDomain, Status: *m,
	}
	permits := s.coordinator(session.pool)
	switch m.Phase {
	case wire.PhaseQuiescing, wire.PhaseLoading:
		permits.MarkStopped(s.cfg.Clock.Now(), from.Instance)
	case wire.PhaseLive, wire.PhaseFailed:
		permits.Release(from.Instance)
	}
}

// requestPermit returns a load permit for the session's instance or a refusal.
func (s *Service) requestPermit(session *Session, manifest model.Digest) *wire.LoadPermit {
	s.touchVersion(manifest)
	permits := s.coordinator(session.pool)
	now := s.cfg.Clock.Now()
	p, reason := permits.Request(now, session.identity.Instance, s.cfg.PoolState(session.pool))
	if reason != rollout.ReasonNone {
		return &wire.LoadPermit{Manifest: manifest, RetryAfterMillis: permits.RetryInterval().Milliseconds(), Reason: string(reason)}
	}
	return &wire.LoadPermit{
		Manifest: manifest, Granted: true, Number: p.Number, TTLMillis: p.Expires.Sub(now).Milliseconds(),
	}
}

// coordinator returns the coordinator of a pool's permits, creating it if needed.
func (s *Service) coordinator(pool string) *rollout.Coordinator {
	c, ok := s.coordinators[pool]
	if !ok {
		c = rollout.New(s.cfg.Rollout, uint64(s.rand.Uint32())<<20)
		s.coordinators[pool] = c
	}
	return c
}

// Report returns the status of the instances that the trackers of this entry
// know, sorted by instance.
func (s *Service) Report() *wire.RolloutReport {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := new(wire.RolloutReport)
	for _, v := range s.versions {
		for _, i := range v.statuses {
			r.Instances = append(r.Instances, i)
		}
	}
	slices.SortFunc(r.Instances, func(a, b wire.InstanceStatus) int {
		return strings.Compare(string(a.Instance), string(b.Instance))
	})
	return r
}

package tracker

import (
	"slices"
	"strings"

	"github.com/auburnbend/auburnbend/lib/model"
	"github.com/auburnbend/auburnbend/lib/rollout"
	"github.com/auburnbend/auburnbend/lib/wire"
)

// status records how far an instance is and moves its load permit on.
func (s *Service) status(c *Session, m *wire.TransferStatus) {
	from := c.identity
	s.version(m.Manifest).status[from.Instance] = wire.InstanceStatus{
		Instance: from.Instance, Domain: from.Location.FailureDomain, Status: *m,
	}
	w := s.wave(c.pool)
	switch m.Phase {
	case wire.PhaseQuiescing, wire.PhaseLoading:
		w.MarkStopped(s.cfg.Clock.Now(), from.Instance)
	case wire.PhaseLive, wire.PhaseFailed:
		w.Release(from.Instance)
	}
}

func (s *Service) permit(c *Session, manifest model.Digest) *wire.LoadPermit {
	s.version(manifest)
	w := s.wave(c.pool)
	now := s.cfg.Clock.Now()
	p, reason := w.Request(now, c.identity.Instance, s.cfg.PoolState(c.pool))
	if reason != rollout.ReasonNone {
		return &wire.LoadPermit{Manifest: manifest, RetryMillis: w.RetryInterval().Milliseconds(), Reason: string(reason)}
	}
	return &wire.LoadPermit{
		Manifest: manifest, Granted: true, Number: p.Number, ExpiryMillis: p.Expires.Sub(now).Milliseconds(),
	}
}

func (s *Service) wave(pool string) *rollout.Coordinator {
	w, ok := s.waves[pool]
	if !ok {
		w = rollout.New(s.cfg.Rollout, uint64(s.rand.Uint32())<<20)
		s.waves[pool] = w
	}
	return w
}

// Report lists the instances that the trackers of this entry know.
func (s *Service) Report() *wire.RolloutReport {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := new(wire.RolloutReport)
	for _, v := range s.versions {
		for _, i := range v.status {
			r.Instances = append(r.Instances, i)
		}
	}
	slices.SortFunc(r.Instances, func(a, b wire.InstanceStatus) int {
		return strings.Compare(string(a.Instance), string(b.Instance))
	})
	return r
}

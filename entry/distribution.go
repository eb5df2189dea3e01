package entry

import (
	"context"
	"math"
	"slices"

	"github.com/auburnbend/auburnbend/lib/config"
	"github.com/auburnbend/auburnbend/lib/distribute"
	"github.com/auburnbend/auburnbend/lib/member"
	"github.com/auburnbend/auburnbend/lib/model"
	"github.com/auburnbend/auburnbend/lib/rollout"
	"github.com/auburnbend/auburnbend/lib/wire"
)

// policy divides the origin's chunks of a version between the failure domains
// that get it. All trackers calculate it from the same configuration.
func (e *Entry) policy(manifest model.Digest) distribute.Policy {
	own := distribute.Policy{Domains: []model.Location{e.cfg.Identity.Location}, Copies: 1}
	c := e.Current()
	if c == nil {
		return own
	}
	regions := e.regions()
	var domains []model.Location
	for _, p := range c.Placements {
		location := model.Location{Region: regions[p.FailureDomain], FailureDomain: p.FailureDomain}
		if usesManifest(c, p, manifest) && !slices.Contains(domains, location) {
			domains = append(domains, location)
		}
	}
	if len(domains) == 0 {
		return own
	}
	return distribute.Policy{Domains: domains, Copies: copies(c.Deployment, len(domains))}
}

// copies returns the copies to take from the origin: one where bytes count most,
// one for each failure domain within the budget where time does.
func copies(d config.Deployment, domains int) int {
	most := domains
	if d.OriginCopies > 0 {
		most = min(most, d.OriginCopies)
	}
	return 1 + int(math.Round(d.TimeWeight*float64(most-1)))
}

func usesManifest(c *config.Config, p config.Placement, manifest model.Digest) bool {
	m, ok := c.FindModel(p.Model, p.Version)
	if !ok {
		return false
	}
	if m.Manifest == manifest {
		return true
	}
	base, ok := c.FindModel(m.Base, m.BaseVersion)
	return ok && base.Manifest == manifest
}

// regions maps each known failure domain to its region.
func (e *Entry) regions() map[model.FailureDomain]model.Region {
	own := e.cfg.Identity.Location
	regions := map[model.FailureDomain]model.Region{own.FailureDomain: own.Region}
	for _, m := range e.fleet.Entries() {
		regions[m.Identity.Location.FailureDomain] = m.Identity.Location.Region
	}
	return regions
}

// group returns the state of a pool for load permits.
func (e *Entry) group(pool string) rollout.PoolState {
	g := e.fleet.Group(pool)
	if c := e.Current(); c != nil {
		if p, ok := c.FindPlacement(pool, e.cfg.Identity.Location.FailureDomain); ok {
			g.MinLive = p.MinLive
		}
	}
	return g
}

// exchange talks to other trackers: it tells those of other failure domains, and
// the one that would follow in this one, which chunks the agents here hold, and
// fetches their reports while an operator asks.
func (e *Entry) exchange(ctx context.Context) {
	domains := make(map[model.Location][]member.Member)
	for _, m := range e.fleet.Entries() {
		domains[m.Identity.Location] = append(domains[m.Identity.Location], m)
	}
	var required []model.InstanceID
	send := func(manifest model.Digest, message wire.Message) {
		for _, entries := range domains {
			to := trackerOf(manifest, entries)
			required = append(required, to)
			e.fleet.Send(to, message)
		}
	}
	for _, summary := range e.trackers.Summaries() {
		send(summary.Manifest, summary)
	}
	if c := e.Current(); c != nil && e.reports.wanted() {
		for _, manifest := range placedManifests(c) {
			send(manifest, &wire.RolloutFetch{})
		}
	}
	slices.Sort(required)
	e.fleet.RequireConnections(ctx, slices.Compact(required))
}

func placedManifests(c *config.Config) []model.Digest {
	var manifests []model.Digest
	for _, p := range c.Placements {
		if m, ok := c.FindModel(p.Model, p.Version); ok && !slices.Contains(manifests, m.Manifest) {
			manifests = append(manifests, m.Manifest)
		}
	}
	return manifests
}

// peerMessage takes messages of other entries that do not concern the fleet.
func (e *Entry) peerMessage(peer wire.Hello, m wire.Message, reply func(wire.Message) error) {
	switch m := m.(type) {
	case *wire.HolderSummary:
		e.trackers.Attach(peer, replier(reply)).Handle(m)
	case *wire.RolloutFetch:
		_ = reply(e.trackers.Report())
	case *wire.RolloutReport:
		e.reports.put(peer.Identity.Instance, m)
	}
}

// replier sends on the connection that a message came from.
type replier func(wire.Message) error

// TrySend implements tracker.Sender.
func (r replier) TrySend(m wire.Message) error { return r(m) }

// trackerOf returns the entry that comes first in the rendezvous order of a
// manifest, as agents compute it from the addresses.
func trackerOf(manifest model.Digest, entries []member.Member) model.InstanceID {
	addresses := make([]string, 0, len(entries))
	for _, m := range entries {
		addresses = append(addresses, m.Identity.Address)
	}
	first := distribute.RendezvousOrder(manifest, addresses)[0]
	for _, m := range entries {
		if m.Identity.Address == first {
			return m.Identity.Instance
		}
	}
	return ""
}

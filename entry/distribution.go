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

// distributionPolicy returns the policy that divides the chunks to fetch from the origin
// among the failure domains where a version is placed. All trackers derive it from the
// configuration in force.
func (e *Entry) distributionPolicy(manifest model.Digest) distribute.Policy {
	ownDomain := distribute.Policy{Domains: []model.Location{e.cfg.Identity.Location}, Copies: 1}
	c := e.Current()
	if c == nil {
		return ownDomain
	}
	regions := e.regionsByDomain()
	var domains []model.Location
	for _, p := range c.Placements {
		location := model.Location{Region: regions[p.FailureDomain], FailureDomain: p.FailureDomain}
		if usesManifest(c, p, manifest) && !slices.Contains(domains, location) {
			domains = append(domains, location)
		}
	}
	if len(domains) == 0 {
		return ownDomain
	}
	return distribute.Policy{Domains: domains, Copies: originCopies(c.Deployment, len(domains))}
}

// originCopies returns the number of copies to fetch from the origin. With a TimeWeight
// of 0 it is one; with a TimeWeight of 1 it is one per failure domain, but at most
// OriginCopies if that is set.
func originCopies(d config.Deployment, domains int) int {
	maxCopies := domains
	if d.OriginCopies > 0 {
		maxCopies = min(maxCopies, d.OriginCopies)
	}
	return 1 + int(math.Round(d.TimeWeight*float64(maxCopies-1)))
}

// usesManifest reports whether a placement needs the weights of a manifest, as its
// version or as the base model of its version.
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

// regionsByDomain maps each known failure domain to its region.
func (e *Entry) regionsByDomain() map[model.FailureDomain]model.Region {
	own := e.cfg.Identity.Location
	regions := map[model.FailureDomain]model.Region{own.FailureDomain: own.Region}
	for _, m := range e.fleet.Entries() {
		regions[m.Identity.Location.FailureDomain] = m.Identity.Location.Region
	}
	return regions
}

// poolState returns the state of a pool in this failure domain, which load permits
// depend on.
func (e *Entry) poolState(pool string) rollout.PoolState {
	state := e.fleet.PoolState(pool)
	if c := e.Current(); c != nil {
		if p, ok := c.FindPlacement(pool, e.cfg.Identity.Location.FailureDomain); ok {
			state.MinLive = p.MinLive
		}
	}
	return state
}

// exchangeWithTrackers exchanges state with the trackers of other failure domains and
// the one that would take over in this domain. It sends them summaries of the chunks
// that agents here hold. While an operator watches rollouts, it also requests their
// reports.
func (e *Entry) exchangeWithTrackers(ctx context.Context) {
	entriesByDomain := make(map[model.Location][]member.Member)
	for _, m := range e.fleet.Entries() {
		entriesByDomain[m.Identity.Location] = append(entriesByDomain[m.Identity.Location], m)
	}
	var required []model.InstanceID
	send := func(manifest model.Digest, message wire.Message) {
		for _, entries := range entriesByDomain {
			to := trackerInstance(manifest, entries)
			required = append(required, to)
			e.fleet.Send(to, message)
		}
	}
	for _, summary := range e.trackers.Summaries() {
		send(summary.Manifest, summary)
	}
	if c := e.Current(); c != nil && e.reports.requested() {
		for _, manifest := range placedManifests(c) {
			send(manifest, &wire.RolloutFetch{})
		}
	}
	slices.Sort(required)
	e.fleet.RequireConnections(ctx, slices.Compact(required))
}

// placedManifests returns the manifests of all placed versions, without duplicates.
func placedManifests(c *config.Config) []model.Digest {
	var manifests []model.Digest
	for _, p := range c.Placements {
		if m, ok := c.FindModel(p.Model, p.Version); ok && !slices.Contains(manifests, m.Manifest) {
			manifests = append(manifests, m.Manifest)
		}
	}
	return manifests
}

// handlePeerMessage processes messages from other entries that the fleet does not
// process itself.
func (e *Entry) handlePeerMessage(peer wire.Hello, m wire.Message, reply func(wire.Message) error) {
	switch m := m.(type) {
	case *wire.HolderSummary:
		e.trackers.Attach(peer, senderFunc(reply)).Handle(m)
	case *wire.RolloutFetch:
		_ = reply(e.trackers.Report())
	case *wire.RolloutReport:
		e.reports.put(peer.Identity.Instance, m)
	}
}

// senderFunc is a tracker.Sender for the connection that a message arrived on.
type senderFunc func(wire.Message) error

// TrySend implements tracker.Sender.
func (f senderFunc) TrySend(m wire.Message) error { return f(m) }

// trackerInstance returns the entry that tracks a manifest: the first one in the
// rendezvous order, which agents compute from the addresses in the same way.
func trackerInstance(manifest model.Digest, entries []member.Member) model.InstanceID {
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

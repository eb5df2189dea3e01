package gateway

import (
	"time"

	"github.com/auburnbend/auburnbend/lib/serving"
	"github.com/auburnbend/auburnbend/peerlink"
)

// announceDelay is the delay before changed targets are announced, so that changes
// which come together are announced once.
const announceDelay = 20 * time.Millisecond

// weightTargets returns the version that the engines of each service must load, and
// its origin.
func (g *Gateway) weightTargets(table *serving.Table) map[string]*peerlink.Target {
	config := table.Config()
	targets := make(map[string]*peerlink.Target)
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.now()
	for _, t := range config.WeightsTargets() {
		targets[t.Service] = &peerlink.Target{
			ConfigVersion: config.Version, Model: t.Model, Version: max(serving.FirstVersion, g.versions.Newest(t.Model)),
			Origin: t.Origin.Address, OriginPieceMicros: t.OriginPieceTime.Microseconds(), Layers: t.Layers, Pieces: t.Pieces,
			AgeMillis: g.versions.Age(t.Model, now).Milliseconds(),
		}
	}
	return targets
}

// announceTargets announces changed targets to the agents without waiting for the
// next interval.
func (g *Gateway) announceTargets() {
	if g.peerLink != nil {
		g.peerLink.announceTargets()
	}
}

package gateway

import (
	"time"

	"github.com/auburnbend/auburnbend/lib/serving"
	"github.com/auburnbend/auburnbend/peerlink"
)

// announcePause is the least time between two announcements of changed targets.
const announcePause = 20 * time.Millisecond

// targets returns what the engines of each service must serve.
func (g *Gateway) targets(table *serving.Table) map[string]*peerlink.Target {
	config := table.Config()
	targets := make(map[string]*peerlink.Target)
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, t := range config.WeightsTargets() {
		targets[t.Service] = &peerlink.Target{
			ConfigVersion: config.Version, Model: t.Model, Version: max(serving.FirstVersion, g.versions.Newest(t.Model)),
			Origin: t.Origin.Address, OriginPieceMicros: t.PieceTime.Microseconds(),
		}
	}
	return targets
}

// announceTargets makes the agents learn of a change at once.
func (g *Gateway) announceTargets() {
	if g.loads != nil {
		g.loads.announceTargets()
	}
}

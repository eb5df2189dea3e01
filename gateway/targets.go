package gateway

import (
	"time"

	"github.com/auburnbend/auburnbend/lib/serving"
	"github.com/auburnbend/auburnbend/peerlink"
)

const (
	// firstVersion is the version that a model has before one is declared.
	firstVersion = 1
	// tellPause is the least time between two messages to an agent that are sent
	// because its target changed.
	tellPause = 20 * time.Millisecond
)

// targets returns what the engines of each service must serve.
func (g *Gateway) targets(table *serving.Table) map[string]*peerlink.Target {
	config := table.Config()
	targets := make(map[string]*peerlink.Target)
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, t := range config.WeightsTargets() {
		targets[t.Service] = &peerlink.Target{
			Config: config.Version, Model: t.Model, Version: max(firstVersion, g.versions.Newest(t.Model)),
			Origin: t.Origin.Address, PieceMicros: t.PieceTime.Microseconds(),
		}
	}
	return targets
}

// tellTargets makes the agents learn of a change at once.
func (g *Gateway) tellTargets() {
	if g.targetsChanged != nil {
		g.targetsChanged()
	}
}

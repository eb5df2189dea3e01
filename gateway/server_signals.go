package gateway

import (
	"time"

	"github.com/auburnbend/auburnbend/lib/directory"
	"github.com/auburnbend/auburnbend/lib/eventlog"
	"github.com/auburnbend/auburnbend/lib/placement"
	"github.com/auburnbend/auburnbend/peerlink"
)

// recordSignals records the pause, the rate limit and the drain that a server
// announces in the response to a request that was sent at the given time. It returns
// what other entries should learn. The caller holds mu.
func (g *Gateway) recordSignals(server *directory.Server, info ResponseInfo, sent, now time.Time) *peerlink.Gossip {
	key := server.Key()
	wireKey := peerlink.ServerKey{ID: key.ID, StartUnixMilli: key.StartUnixMilli}
	news := &peerlink.Gossip{}
	if g.picker.ObserveLimit(key, info.RateLimit, sent, now) {
		g.logRateLimit(key, info.RateLimit.PerSecond, directory.SourceResponse)
		news.Limits = []peerlink.RateLimit{{Server: wireKey, PerSecond: info.RateLimit.PerSecond}}
	}
	if info.Pause > 0 && g.picker.Pause(key, now.Add(info.Pause), now) {
		g.signals[Signal{SignalPause, directory.SourceResponse}]++
		g.config.Log.Log(eventlog.ServerPaused, "server", server.ID, "born", server.StartUnixMilli, "service", server.Service, "for_ms", info.Pause.Milliseconds())
	}
	if info.Draining && g.directory.MarkDraining(key, directory.SourceResponse, now) {
		g.recordDraining(key, directory.SourceResponse)
		news.Draining = []peerlink.ServerKey{wireKey}
	}
	return news
}

// mergeDraining records servers that are draining according to others, and returns
// those that were not known to be.
func (g *Gateway) mergeDraining(servers []peerlink.ServerKey) []peerlink.ServerKey {
	if len(servers) == 0 {
		return nil
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	var fresh []peerlink.ServerKey
	for _, server := range servers {
		key := directory.Key{ID: server.ID, StartUnixMilli: server.StartUnixMilli}
		if g.directory.MarkDraining(key, directory.SourcePeer, g.now()) {
			g.recordDraining(key, directory.SourcePeer)
			fresh = append(fresh, server)
		}
	}
	return fresh
}

// recordDraining counts and logs a server that has become known to be draining. The caller
// holds mu.
func (g *Gateway) recordDraining(server directory.Key, source string) {
	g.signals[Signal{SignalDraining, source}]++
	service := ""
	if listing := g.directory.Get(server); listing != nil {
		service = listing.Service
	}
	g.config.Log.Log(eventlog.ServerDraining, "server", server.ID, "born", server.StartUnixMilli, "service", service, "source", source)
}

// refuseIfPaused refuses a request if all servers that could run it have asked this
// entry for a pause. It returns nil otherwise.
func (g *Gateway) refuseIfPaused(req *placement.Request, now time.Time) *placement.Refusal {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.picker.RefuseIfPaused(req, now)
}

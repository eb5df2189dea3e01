package gateway

import (
	"time"

	"github.com/auburnbend/auburnbend/lib/directory"
	"github.com/auburnbend/auburnbend/lib/eventlog"
	"github.com/auburnbend/auburnbend/lib/placement"
	"github.com/auburnbend/auburnbend/peerlink"
)

// recordSignals records the pause, the rate limit and the drain that a server
// announces in the response to a request that was sent at the given time. It reports
// whether the drain is news. The caller holds mu.
func (g *Gateway) recordSignals(server *directory.Server, info ResponseInfo, sent, now time.Time) (draining bool) {
	if g.picker.ObserveLimit(server.Key(), info.RateLimit, sent, now) {
		g.logRateLimit(server.Key(), info.RateLimit.PerSecond, directory.SourceResponse)
	}
	if info.Pause > 0 && g.picker.Pause(server.Key(), now.Add(info.Pause), now) {
		g.config.Log.Log(eventlog.ServerPaused, "server", server.ID, "born", server.StartUnixMilli, "service", server.Service, "for_ms", info.Pause.Milliseconds())
	}
	if !info.Draining || !g.directory.MarkDraining(server.Key(), directory.SourceResponse, now) {
		return false
	}
	g.logDraining(server.Key(), directory.SourceResponse)
	return true
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
			g.logDraining(key, directory.SourcePeer)
			fresh = append(fresh, server)
		}
	}
	return fresh
}

func (g *Gateway) logDraining(server directory.Key, source string) {
	g.config.Log.Log(eventlog.ServerDraining, "server", server.ID, "born", server.StartUnixMilli, "source", source)
}

// logRateLimit logs a changed limit; zero means that the server lifted it.
func (g *Gateway) logRateLimit(server directory.Key, perSecond float64, source string) {
	g.config.Log.Log(eventlog.ServerRateLimited, "server", server.ID, "born", server.StartUnixMilli, "per_second", perSecond, "source", source)
}

// refuseIfPaused refuses a request if all servers that could run it have asked this
// entry for a pause. It returns nil otherwise.
func (g *Gateway) refuseIfPaused(req *placement.Request, now time.Time) *placement.Refusal {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.picker.RefuseIfPaused(req, now)
}

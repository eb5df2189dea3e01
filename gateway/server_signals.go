package gateway

import (
	"time"

	"github.com/auburnbend/auburnbend/lib/directory"
	"github.com/auburnbend/auburnbend/lib/eventlog"
	"github.com/auburnbend/auburnbend/lib/placement"
	"github.com/auburnbend/auburnbend/peerlink"
)

// noteSignals takes what a server says about further requests. It reports whether it
// is news that the server leaves. The caller holds mu.
func (g *Gateway) noteSignals(server *directory.Server, reply ResponseInfo, now time.Time) (leaves bool) {
	if reply.Pause > 0 && g.picker.Pause(server.Key(), now.Add(reply.Pause), now) {
		g.config.Log.Log(eventlog.ServerPaused, "server", server.ID, "born", server.StartUnixMilli, "service", server.Service, "for_ms", reply.Pause.Milliseconds())
	}
	if !reply.Draining || !g.directory.MarkDraining(server.Key(), directory.SourceResponse, now) {
		return false
	}
	g.logLeaving(server.Key(), directory.SourceResponse)
	return true
}

// mergeLeaving takes servers of which others tell that they leave. It returns those
// that are news.
func (g *Gateway) mergeLeaving(servers []peerlink.ServerKey) []peerlink.ServerKey {
	if len(servers) == 0 {
		return nil
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	var news []peerlink.ServerKey
	for _, server := range servers {
		key := directory.Key{ID: server.ID, StartUnixMilli: server.StartUnixMilli}
		if g.directory.MarkDraining(key, directory.SourcePeer, g.now()) {
			g.logLeaving(key, directory.SourcePeer)
			news = append(news, server)
		}
	}
	return news
}

func (g *Gateway) logLeaving(server directory.Key, source string) {
	g.config.Log.Log(eventlog.ServerDraining, "server", server.ID, "born", server.StartUnixMilli, "source", source)
}

// allPaused refuses a request that only servers could run which want nothing from
// this entry now.
func (g *Gateway) allPaused(d *placement.Request, now time.Time) *placement.Refusal {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.picker.RefuseIfPaused(d, now)
}

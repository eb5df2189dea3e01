package gateway

import "github.com/auburnbend/auburnbend/lib/placement"

// revokedSince returns why a request must not be sent to the server of its lease
// although it was placed there: what this entry has learned since. It returns an empty
// string if nothing forbids it.
func (g *Gateway) revokedSince(lease *placement.Lease) string {
	g.mu.Lock()
	defer g.mu.Unlock()
	key := lease.Server.Key()
	switch listing := g.directory.Get(key); {
	case listing == nil || listing.Draining:
		return "server is draining or gone"
	case g.picker.Paused(key, g.now()):
		return "server has asked for a pause"
	case !lease.LimitChecked && g.picker.RateLimited(key):
		return "server has named a rate limit"
	case g.picker.Evacuated(lease.Server.Domain):
		return "failure domain is evacuated"
	case g.picker.ReportedClosed(key, g.now()):
		return "server is closed"
	default:
		return ""
	}
}

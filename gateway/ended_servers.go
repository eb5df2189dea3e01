package gateway

import "github.com/auburnbend/auburnbend/lib/directory"

// endedServers returns the listed servers of a service that are known to have ended: others
// or this entry have recorded it lately, or a later start has the address. Rows outlive their
// servers by several heartbeats. A request that is sent there reaches another server, which
// does not run it. The caller holds mu.
func (g *Gateway) endedServers(service string) []directory.Key {
	s, now := g.suspects, g.now()
	var ended []directory.Key
	for _, server := range g.directory.ByService(service) {
		id := incarnationID(server.Key())
		if g.laterStart(server) != nil || s.attributor.EndedLately(now, id) || s.parts.attributor.EndedLately(now, id) {
			ended = append(ended, server.Key())
		}
	}
	return ended
}

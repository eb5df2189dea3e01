package gateway

import "github.com/auburnbend/auburnbend/lib/directory"

// endedServers returns the listed servers of a service that are known to have ended: others
// or this entry have recorded it, or a later start has the address. Rows outlive their
// servers by several heartbeats. A request that is sent there reaches another server, which
// does not run it. The caller holds mu.
func (g *Gateway) endedServers(service string) []directory.Key {
	s := g.suspects
	var ended []directory.Key
	for _, server := range g.directory.ByService(service) {
		id := incarnationID(server.Key())
		if g.laterStart(server) != nil || s.attributor.HasEnded(id) || s.parts.attributor.HasEnded(id) {
			ended = append(ended, server.Key())
		}
	}
	return ended
}

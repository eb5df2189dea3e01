package gateway

import "github.com/auburnbend/auburnbend/lib/directory"

// laterStart returns the incarnation that is listed at the address of a server and has
// started later, or nil. The caller holds mu.
func (g *Gateway) laterStart(server *directory.Server) *directory.Server {
	latest := g.directory.ByAddress(server.Address)
	if latest == nil || latest.StartUnixMilli <= server.StartUnixMilli {
		return nil
	}
	return latest
}

// markSuperseded excludes the listed servers at whose address a later incarnation is listed:
// the row of a server that has crashed outlives it by several heartbeats. The row of the later
// incarnation must also be newer, as its clock may have been set back or forward. A row that a
// restored store has lost can't be compared with those that it has. The caller holds mu.
func (g *Gateway) markSuperseded() {
	g.directory.ForEach(func(s *directory.Server) {
		later := g.laterStart(s)
		if later != nil && s.StartUnixMilli != 0 && later.Era == s.Era && later.Revision > s.Revision {
			g.picker.MarkSuperseded(s.Key())
		}
	})
}

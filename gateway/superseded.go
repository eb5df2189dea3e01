package gateway

import "github.com/auburnbend/auburnbend/lib/directory"

// markSuperseded excludes the listed servers at whose address a later incarnation is listed:
// the row of a server that has crashed outlives it by several heartbeats. The row of the later
// incarnation must also be newer, as its clock may have been set back or forward. The caller
// holds mu.
func (g *Gateway) markSuperseded() {
	g.directory.ForEach(func(s *directory.Server) {
		latest := g.directory.ByAddress(s.Address)
		if latest != nil && s.StartUnixMilli != 0 && latest.StartUnixMilli > s.StartUnixMilli && latest.Revision > s.Revision {
			g.picker.MarkSuperseded(s.Key())
		}
	})
}

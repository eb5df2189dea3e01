package replica

import "net/netip"

// recipients are the entries to send a report to.
type recipients struct {
	// all receive urgent reports, due one at a refresh, everyChange one at each change, and
	// added one immediately.
	all, due, everyChange, added []netip.AddrPort
	// neighbours are the entries of this instance's region that aren't draining.
	neighbours []string
}

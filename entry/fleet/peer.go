package fleet

import (
	"context"

	"github.com/auburnbend/auburnbend/entry/link"
	"github.com/auburnbend/auburnbend/lib/backing"
	"github.com/auburnbend/auburnbend/lib/member"
	"github.com/auburnbend/auburnbend/lib/wire"
)

// peer is one instance that this entry connects to.
type peer struct {
	role    backing.InstanceRole
	address string
	link    *link.Link
	cancel  context.CancelFunc
}

// moved reports whether the member is now at another address than the link
// dials. Attempts that the link still has went to an earlier process.
func (p *peer) moved(m member.Member) bool {
	_, connected := p.link.Peer()
	return !connected && p.address != m.Identity.Address
}

// connection is one open connection, in either direction.
type connection struct {
	hello wire.Hello
	send  func(wire.Message) error
	// drop closes the connection, so that its reader ends.
	drop func()
	// link is nil for connections that the peer opened.
	link *link.Link
	id   member.ConnID
	// told is the last list of entries that the agent was sent.
	told *wire.EntryList
}

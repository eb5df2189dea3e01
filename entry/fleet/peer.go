package fleet

import (
	"context"

	"github.com/auburnbend/auburnbend/entry/link"
	"github.com/auburnbend/auburnbend/lib/backing"
	"github.com/auburnbend/auburnbend/lib/member"
	"github.com/auburnbend/auburnbend/lib/wire"
)

// peer is a member that this entry connects to.
type peer struct {
	role    backing.InstanceRole
	address string
	link    *link.Link
	cancel  context.CancelFunc
}

// addressChanged reports whether the link is not connected and dials an address that
// the member no longer has. Attempts still open on such a link were sent to an
// earlier process.
func (p *peer) addressChanged(m member.Member) bool {
	_, connected := p.link.Peer()
	return !connected && p.address != m.Identity.Address
}

// connection is an open connection, opened by either side.
type connection struct {
	hello wire.Hello
	send  func(wire.Message) error
	// close closes the connection, which ends its reader.
	close func()
	// link is nil for connections that the peer opened.
	link *link.Link
	id   member.ConnID
	// sentEntryList is the last list of entries sent to the agent.
	sentEntryList *wire.EntryList
}

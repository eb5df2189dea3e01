package fleet

import (
	"context"

	"github.com/auburnbend/auburnbend/entry/link"
	"github.com/auburnbend/auburnbend/lib/member"
	"github.com/auburnbend/auburnbend/lib/platform"
	"github.com/auburnbend/auburnbend/lib/wire"
)

// peer is one instance that this entry connects to.
type peer struct {
	role    platform.InstanceRole
	address string
	link    *link.Link
	cancel  context.CancelFunc
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

package link

import (
	"github.com/auburnbend/auburnbend/lib/member"
	"github.com/auburnbend/auburnbend/lib/model"
	"github.com/auburnbend/auburnbend/lib/wire"
)

// Handler receives what concerns the whole connection. Its methods are called
// by the reader goroutine of the link, one at a time for each link.
type Handler interface {
	// Connected reports a new connection. An error closes it.
	Connected(conn member.ConnID, peer wire.Hello) error
	Disconnected(conn member.ConnID, peer wire.Hello)
	// ConnectFailed reports that no connection to the instance could be opened.
	ConnectFailed(instance model.InstanceID, err error)
	// FrameReceived reports a message about an attempt as a sign of life.
	FrameReceived(conn member.ConnID)
	// Message reports a message that belongs to no attempt. Reply sends an
	// answer on the same connection.
	Message(conn member.ConnID, peer wire.Hello, m wire.Message, reply func(wire.Message) error)
}

package link

import (
	"github.com/auburnbend/auburnbend/lib/member"
	"github.com/auburnbend/auburnbend/lib/model"
	"github.com/auburnbend/auburnbend/lib/wire"
)

// Handler receives the events of a link that do not belong to an attempt. Its methods
// are called by the goroutine that runs the link, one at a time for each link.
type Handler interface {
	// Connected reports a new connection. If it returns an error, the link closes
	// the connection and does not call Disconnected.
	Connected(conn member.ConnID, peer wire.Hello) error
	// Disconnected reports the end of a connection.
	Disconnected(conn member.ConnID, peer wire.Hello)
	// ConnectFailed reports a failed attempt to connect to the instance.
	ConnectFailed(instance model.InstanceID, err error)
	// FrameReceived reports that messages about attempts are arriving. It is not
	// called for each of them.
	FrameReceived(conn member.ConnID)
	// Message reports a message that belongs to no attempt. Reply sends a message
	// on the same connection.
	Message(conn member.ConnID, peer wire.Hello, m wire.Message, reply func(wire.Message) error)
}

package link

import (
	"github.com/auburnbend/auburnbend/lib/model"
	"github.com/auburnbend/auburnbend/lib/wire"
)

// Handler receives what concerns the whole instance. Its methods are called by
// the reader goroutine of the link, one at a time for each link.
type Handler interface {
	Connected(peer wire.Hello)
	Disconnected(peer wire.Hello)
	// ConnectFailed reports that no connection to the address could be opened.
	ConnectFailed(instance model.InstanceID, err error)
	// Message reports a message that belongs to no attempt. Reply sends an
	// answer on the same connection.
	Message(peer wire.Hello, m wire.Message, reply func(wire.Message) error)
}

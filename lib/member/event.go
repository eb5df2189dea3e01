package member

import "github.com/auburnbend/auburnbend/lib/model"

// ConnID names one connection. The assembly numbers its connections.
type ConnID uint64

// EventKind says what changed.
type EventKind uint8

const (
	// Listed reports a member that the platform lists and that has no
	// connection: the assembly may open one. It repeats for members that are
	// gone.
	Listed EventKind = iota + 1
	// Joined reports a generation that connected for the first time.
	Joined
	// Left reports a generation that is gone: replaced, or no new connection to
	// it works.
	Left
	// Draining reports a generation that gets no new work from now on.
	Draining
	// Silent reports a connection that has gone silent. The assembly closes it
	// and opens a new one; the member gets no new work until that works.
	Silent
	// Disconnected reports a member whose last connection was closed. The
	// assembly opens a new one.
	Disconnected
	// Restored reports a member that has a working connection again.
	Restored
	// PathFault reports that many connections went silent at once while new
	// ones work. No backend server is to be ejected for it.
	PathFault
	// Probe asks the assembly to send a heartbeat on a connection that the peer
	// answers at once: another connection has missed one.
	Probe
)

// String returns the name for logs and tests.
func (k EventKind) String() string {
	names := [...]string{"invalid", "listed", "joined", "left", "draining", "silent", "disconnected", "restored", "path_fault", "probe"}
	if int(k) < len(names) {
		return names[k]
	}
	return names[0]
}

// Event is one change of the view.
type Event struct {
	Kind EventKind
	// Instance and Generation are empty for PathFault.
	Instance   model.InstanceID
	Generation model.Generation
	// Conn is set for Silent and Probe.
	Conn ConnID
}

package member

import "github.com/auburnbend/auburnbend/lib/model"

// ConnID identifies one connection of the process. The owner of the View assigns
// the IDs.
type ConnID uint64

// EventKind is the kind of an Event.
type EventKind uint8

const (
	// Listed reports a member on the platform's instance list that has no
	// connection. The owner may open one. The event repeats for members that are
	// gone.
	Listed EventKind = iota + 1
	// Joined reports a generation that connected for the first time, or again
	// after it was considered gone.
	Joined
	// Left reports a generation that is gone: it was replaced, has finished
	// draining or cannot be reached.
	Left
	// Draining reports a generation that must not get new work any more.
	Draining
	// Silent reports a connection that has gone silent. The owner closes it and
	// opens a new one. A member without another working connection gets no new
	// work until then.
	Silent
	// Disconnected reports a member whose last connection was closed. The owner
	// opens a new one.
	Disconnected
	// Restored reports a member that has a working connection again.
	Restored
	// PathFault reports that many connections went silent at the same time while
	// new ones work. No backend server should be ejected because of it.
	PathFault
	// Probe asks the owner to send a heartbeat that the peer answers
	// immediately, because a heartbeat is overdue on another connection.
	Probe
)

// String returns the name of the kind for logs and tests.
func (k EventKind) String() string {
	names := [...]string{"invalid", "listed", "joined", "left", "draining", "silent", "disconnected", "restored", "path_fault", "probe"}
	if int(k) < len(names) {
		return names[k]
	}
	return names[0]
}

// Event is one change of the View.
type Event struct {
	Kind EventKind
	// Instance and Generation are empty for PathFault.
	Instance   model.InstanceID
	Generation model.Generation
	// Conn is set for Silent and Probe.
	Conn ConnID
}

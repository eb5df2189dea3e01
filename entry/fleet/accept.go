package fleet

import (
	"github.com/auburnbend/auburnbend/lib/heartbeat"
	"github.com/auburnbend/auburnbend/lib/wire"
)

// ServePeer handles a connection that another entry opened, until it fails.
func (f *Fleet) ServePeer(conn *wire.Conn, peer wire.Hello) {
	id := f.newConnID()
	c := &connection{id: id, hello: peer, send: conn.TrySend, drop: func() { _ = conn.Close() }}
	if f.connected(c) != nil {
		return
	}
	defer f.disconnected(id)
	wake := make(chan struct{}, 1)
	beats := heartbeat.Sender{Conn: conn, Beat: f.heartbeat, InFlight: func() int { return 0 }, Wake: wake}
	go beats.Run()
	for {
		m, err := conn.Receive()
		if err != nil {
			return
		}
		if beat, ok := m.(*wire.Heartbeat); ok && beat.Probe {
			wakeUp(wake)
		}
		f.message(id, peer, m, conn.TrySend)
	}
}

// wakeUp asks for a heartbeat unless one is asked for already.
func wakeUp(wake chan<- struct{}) {
	select {
	case wake <- struct{}{}:
	default:
	}
}

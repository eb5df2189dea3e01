package fleet

import (
	"github.com/auburnbend/auburnbend/lib/heartbeat"
	"github.com/auburnbend/auburnbend/lib/wire"
)

// ServePeer serves a connection that another entry opened. It returns when the
// connection ends.
func (f *Fleet) ServePeer(conn *wire.Conn, hello wire.Hello) {
	id := f.newConnID()
	c := &connection{id: id, hello: hello, send: conn.TrySend, close: func() { _ = conn.Close() }}
	if f.connected(c) != nil {
		return
	}
	defer f.disconnected(id)
	wake := make(chan struct{}, 1)
	beats := heartbeat.Sender{Conn: conn, Heartbeat: f.heartbeat, InFlight: func() int { return 0 }, SendNow: wake}
	go beats.Run()
	for {
		m, err := conn.Receive()
		if err != nil {
			return
		}
		if beat, ok := m.(*wire.Heartbeat); ok && beat.Probe {
			requestHeartbeat(wake)
		}
		f.handleMessage(id, hello, m, conn.TrySend)
	}
}

// requestHeartbeat requests an immediate heartbeat unless a request is pending.
func requestHeartbeat(wake chan<- struct{}) {
	select {
	case wake <- struct{}{}:
	default:
	}
}

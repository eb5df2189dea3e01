// Package heartbeat sends the heartbeats of one connection.
package heartbeat

import (
	"time"

	"github.com/auburnbend/auburnbend/lib/member"
	"github.com/auburnbend/auburnbend/lib/wire"
)

// Sender sends heartbeats on a connection until it closes.
type Sender struct {
	Conn *wire.Conn
	// Beat returns the heartbeat to send; Sequence is set by the sender.
	Beat func() wire.Heartbeat
	// InFlight returns the number of requests in flight on the connection. The
	// interval is a second with requests and longer without: 60 idle connections
	// would spend an entry's 8 KB/s for control.
	InFlight func() int
	// Wake asks for a heartbeat out of turn; it may be nil.
	Wake <-chan struct{}
}

// Run sends the first heartbeat at once and returns when the connection closes.
func (s *Sender) Run() {
	ticker := time.NewTicker(member.SendInterval(1))
	defer ticker.Stop()
	var sequence uint64
	var last time.Time
	for {
		if time.Since(last) >= member.SendInterval(s.InFlight()) {
			beat := s.Beat()
			beat.Sequence = sequence
			sequence++
			last = time.Now()
			// A full queue means that the peer does not read. Its owner judges
			// the silence, so the heartbeat is dropped.
			_ = s.Conn.TrySend(&beat)
		}
		select {
		case <-ticker.C:
		case <-s.Wake:
			last = time.Time{}
		case <-s.Conn.Done():
			return
		}
	}
}

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
	// Heartbeat returns the heartbeat to send. The sender sets its sequence number.
	Heartbeat func() wire.Heartbeat
	// InFlight returns the number of requests in flight on the connection, which
	// determines the interval (see member.SendInterval).
	InFlight func() int
	// SendNow triggers a heartbeat outside the regular interval. It may be nil.
	SendNow <-chan struct{}
	// RequestStarted signals that the number of requests in flight is no longer zero.
	// If it is nil, the sender checks the number once per busy interval.
	RequestStarted <-chan struct{}
}

// Run sends the first heartbeat immediately and returns when the connection closes.
func (s *Sender) Run() {
	timer := time.NewTimer(0)
	defer timer.Stop()
	var sequence uint64
	var last time.Time
	for {
		if time.Since(last) >= s.interval() {
			message := s.Heartbeat()
			message.Sequence = sequence
			sequence++
			last = time.Now()
			// If the queue is full, the peer does not read. The heartbeat is dropped;
			// the owner of the connection detects that the peer is silent.
			_ = s.Conn.TrySend(&message)
		}
		timer.Reset(s.nextCheck(time.Since(last)))
		select {
		case <-timer.C:
		case <-s.RequestStarted:
		case <-s.SendNow:
			last = time.Time{}
		case <-s.Conn.Done():
			return
		}
	}
}

// nextCheck returns the time until Run must check again whether a heartbeat is due. It
// never exceeds the remaining idle interval: a heartbeat that is 200 ms late makes a
// healthy agent unusable until it arrives.
func (s *Sender) nextCheck(sinceLast time.Duration) time.Duration {
	idle := max(0, member.SendInterval(0)-sinceLast)
	if s.RequestStarted != nil && s.InFlight() == 0 {
		return idle
	}
	return min(member.SendInterval(1), idle)
}

// interval returns the current interval between two heartbeats. Frames and acks also
// show that this side is alive, so a connection that carries them uses the idle
// interval: at the planned size, heartbeats each second on 60 busy connections would
// exceed an entry's limit of 8 KB/s.
func (s *Sender) interval() time.Duration {
	if time.Since(s.Conn.LastDataSent()) < member.SendInterval(1) {
		return member.SendInterval(0)
	}
	return member.SendInterval(s.InFlight())
}

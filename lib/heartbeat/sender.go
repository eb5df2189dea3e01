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
	// Heartbeat returns the heartbeat to send; Sequence is set by the sender.
	Heartbeat func() wire.Heartbeat
	// InFlight returns the number of requests in flight on the connection. The
	// interval is a second with requests and longer without.
	InFlight func() int
	// SendNow asks for a heartbeat out of turn; it may be nil.
	SendNow <-chan struct{}
	// RequestStarted tells that a first request has started. Where it is nil, the sender
	// looks for requests by itself once in each busy interval.
	RequestStarted <-chan struct{}
}

// Run sends the first heartbeat at once and returns when the connection closes.
func (s *Sender) Run() {
	timer := time.NewTimer(0)
	defer timer.Stop()
	var sequence uint64
	var last time.Time
	for {
		if time.Since(last) >= s.interval() {
			beat := s.Heartbeat()
			beat.Sequence = sequence
			sequence++
			last = time.Now()
			// A full queue means that the peer does not read. Its owner judges
			// the silence, so the heartbeat is dropped.
			_ = s.Conn.TrySend(&beat)
		}
		timer.Reset(s.nextLook(time.Since(last)))
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

// nextLook returns the time until the next look. The idle interval has to be met
// exactly: a heartbeat that is 200 ms late makes a healthy agent unusable until
// it arrives.
func (s *Sender) nextLook(sinceLast time.Duration) time.Duration {
	idle := max(0, member.SendInterval(0)-sinceLast)
	if s.RequestStarted != nil && s.InFlight() == 0 {
		return idle
	}
	return min(member.SendInterval(1), idle)
}

// interval returns the time between two heartbeats now. Frames and acks are signs
// of life too, so a connection that carries them needs none each second: at the
// planned size 60 busy connections would spend more than an entry's 8 KB/s.
func (s *Sender) interval() time.Duration {
	if time.Since(s.Conn.LastDataSent()) < member.SendInterval(1) {
		return member.SendInterval(0)
	}
	return member.SendInterval(s.InFlight())
}

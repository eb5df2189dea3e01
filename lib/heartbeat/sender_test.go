package heartbeat

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/auburnbend/auburnbend/lib/member"
)

// Guards against heartbeats on idle connections that are later than the interval after
// which an agent is considered unusable.
func TestIdleIntervalIsMet(t *testing.T) {
	g := NewWithT(t)
	for _, requestStarted := range []chan struct{}{nil, make(chan struct{})} {
		s := Sender{InFlight: func() int { return 0 }, RequestStarted: requestStarted}
		var elapsed time.Duration
		for elapsed < member.SendInterval(0) {
			elapsed += s.nextCheck(elapsed)
		}
		g.Expect(elapsed).To(Equal(member.SendInterval(0)))
		g.Expect(elapsed).To(BeNumerically("<", member.IdleInterval))
	}
}

// Guards against a busy connection on which heartbeats use the idle interval.
func TestBusyIntervalIsMet(t *testing.T) {
	g := NewWithT(t)
	s := Sender{InFlight: func() int { return 1 }, RequestStarted: make(chan struct{})}
	g.Expect(s.nextCheck(0)).To(Equal(member.SendInterval(1)))
}

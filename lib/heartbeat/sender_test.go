package heartbeat

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/auburnbend/auburnbend/lib/member"
)

// Guards against heartbeats of idle connections that come later than the
// interval after which an agent counts as unusable.
func TestLooksMeetTheIdleInterval(t *testing.T) {
	g := NewWithT(t)
	for _, look := range []chan struct{}{nil, make(chan struct{})} {
		s := Sender{InFlight: func() int { return 0 }, RequestStarted: look}
		var elapsed time.Duration
		for elapsed < member.SendInterval(0) {
			elapsed += s.nextLook(elapsed)
		}
		g.Expect(elapsed).To(Equal(member.SendInterval(0)))
		g.Expect(elapsed).To(BeNumerically("<", member.IdleInterval))
	}
}

// Guards against a busy connection whose heartbeats wait for the idle interval.
func TestBusyIntervalIsKept(t *testing.T) {
	g := NewWithT(t)
	s := Sender{InFlight: func() int { return 1 }, RequestStarted: make(chan struct{})}
	g.Expect(s.nextLook(0)).To(Equal(member.SendInterval(1)))
}

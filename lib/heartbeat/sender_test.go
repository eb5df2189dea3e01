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
	var elapsed time.Duration
	for elapsed < member.SendInterval(0) {
		elapsed += nextLook(elapsed)
	}
	g.Expect(elapsed).To(Equal(member.SendInterval(0)))
	g.Expect(elapsed).To(BeNumerically("<", member.IdleInterval))
}

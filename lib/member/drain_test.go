package member_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/auburnbend/auburnbend/lib/member"
	"github.com/auburnbend/auburnbend/lib/wire"
)

var _ = Describe("Drain with the notification lost to half of the entries", func() {
	It("stops new work within 3 s at all entries, and immediately where the notification arrives", func() {
		const (
			entries = 8
			step    = 20 * time.Millisecond
			drainAt = 10 * time.Second
		)
		views := make([]*member.View, entries)
		next := make([]time.Duration, entries) // when the next heartbeat is sent
		for i := range views {
			views[i] = member.New(member.Config{})
			_, err := views[i].Connected(time.Unix(0, 0), 1, agentHello("a", 1, ""))
			Expect(err).NotTo(HaveOccurred())
			next[i] = time.Duration(i) * 300 * time.Millisecond
		}
		sequence := uint64(0)
		for at := time.Duration(0); at < 20*time.Second; at += step {
			now := time.Unix(0, 0).Add(at)
			sequence++
			beat := wire.Heartbeat{Sequence: sequence, Draining: at >= drainAt}
			for i, v := range views {
				pushed := at == drainAt && i%2 == 0
				// The last entry receives no heartbeats from the drain on.
				lost := at >= drainAt && i == entries-1
				if (at >= next[i] || pushed) && !lost {
					v.Heartbeat(now, 1, beat)
					next[i] = at + member.SendInterval(0)
				}
				v.Tick(now)
				m, _ := v.Member("a")
				switch {
				case at >= drainAt && i%2 == 0, at > drainAt+3*time.Second:
					Expect(m.Usable(now)).To(BeFalse(), "entry %d at %s", i, at)
				case at >= 3*time.Second && at < drainAt:
					Expect(m.Usable(now)).To(BeTrue(), "entry %d at %s", i, at)
				}
			}
		}
	})
})

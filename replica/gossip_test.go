package replica

import (
	"net"
	"net/netip"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/auburnbend/auburnbend/lib/clock"
	"github.com/auburnbend/auburnbend/lib/msgstream"
	"github.com/auburnbend/auburnbend/peerlink"
)

var _ = Describe("Draining servers that entries report to an agent", func() {
	It("are remembered for entries that start, as long as reports arrive and for a while after that", func() {
		// Guards against an entry that starts during a long outage of the store and sends
		// requests to a draining server: agents forgot it a minute after the first report.
		now := clock.NewFake(time.Unix(1000, 0))
		agent, err := NewLoadReporter(New(Config{EngineAddress: "127.0.0.1:9", Clock: now, Listen: "127.0.0.1"}))
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(agent.conn.Close)
		entry, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(entry.Close)
		incarnation := uint64(0)
		// initialGossip returns the draining servers that an entry is told when it starts.
		initialGossip := func() []peerlink.ServerKey {
			incarnation++
			agent.handle(entry.LocalAddr().(*net.UDPAddr).AddrPort(), &peerlink.Datagram{Subscription: &peerlink.Subscription{Entry: "e", Incarnation: incarnation}})
			Expect(entry.SetReadDeadline(time.Now().Add(100 * time.Millisecond))).To(Succeed())
			buf := make([]byte, maxDatagramBytes)
			n, err := entry.Read(buf)
			if err != nil {
				return nil
			}
			var d peerlink.Datagram
			Expect(msgstream.Unmarshal(buf[:n], &d)).To(Succeed())
			return d.Gossip.Draining
		}
		key := peerlink.ServerKey{ID: "i-1", StartUnixMilli: 7}
		for range 3 {
			agent.handle(netip.AddrPort{}, &peerlink.Datagram{Gossip: &peerlink.Gossip{Draining: []peerlink.ServerKey{key}}})
			Expect(initialGossip()).To(ConsistOf(key))
			now.Advance(40 * time.Second)
			Expect(initialGossip()).To(ConsistOf(key))
		}
		now.Advance(drainingTTL)
		Expect(initialGossip()).To(BeEmpty())
	})
})

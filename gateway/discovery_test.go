package gateway

import (
	"net"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/auburnbend/auburnbend/internal/loopback"
	"github.com/auburnbend/auburnbend/lib/clock"
	"github.com/auburnbend/auburnbend/lib/directory"
	"github.com/auburnbend/auburnbend/lib/eventlog"
	"github.com/auburnbend/auburnbend/lib/placement"
	"github.com/auburnbend/auburnbend/peerlink"
)

var _ = Describe("An entry without a configuration", func() {
	It("learns the entries of its region from the agents, which do not name it", func() {
		// Guards against an entry that starts and reads a large configuration over the link of its
		// region, as it knows of no entry that has it, and against others that follow it before it
		// has one.
		agentIP, err := loopback.NewIP()
		Expect(err).NotTo(HaveOccurred())
		agent, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.ParseIP(agentIP)})
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(agent.Close)
		g := New(Config{Clock: clock.System{}, Log: eventlog.Discard(), Placement: placement.Config{Domain: "north", Regions: map[string]string{"north": "n", "south": "s"}}})
		entryIP, err := loopback.NewIP()
		Expect(err).NotTo(HaveOccurred())
		l, err := NewPeerLink(g, "entry", "n", entryIP, agent.LocalAddr().(*net.UDPAddr).Port, 1)
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(func() { _ = l.conn.Close() })
		Expect(l.AwaitsMembers()).To(BeTrue(), "the list of servers has not been read")
		g.ReplaceServers([]*directory.Server{{ID: "plain", Service: "desk", Address: "127.0.0.9:8000", Domain: "north"}}, false)
		Expect(l.AwaitsMembers()).To(BeFalse(), "no agent can name them")

		weights := map[string]directory.Weights{"m": {Version: 1, Complete: true}}
		g.ReplaceServers([]*directory.Server{
			{ID: "a", Service: "drafts", Address: net.JoinHostPort(agentIP, "8000"), Domain: "north", Weights: weights},
			{ID: "b", Service: "drafts", Address: "127.0.0.10:8000", Domain: "south", Weights: weights},
			{ID: "c", Service: "drafts", Address: "127.0.0.13:8000", Domain: "north", Weights: weights},
		}, false)
		Expect(g.localAgents()).To(HaveLen(2))
		Expect(l.AwaitsMembers()).To(BeTrue())
		l.subscribe(true)
		buf := make([]byte, maxDatagramBytes)
		Expect(agent.SetReadDeadline(time.Now().Add(5 * time.Second))).To(Succeed())
		n, err := agent.Read(buf)
		Expect(err).NotTo(HaveOccurred())
		var d peerlink.Datagram
		Expect(msgpack.Unmarshal(buf[:n], &d)).To(Succeed())
		Expect(d.Subscription.Draining && d.Subscription.Refresh).To(BeTrue())
		Expect(d.Subscription.Target).To(BeNil())

		Expect(l.Rank("read/op")).To(HaveLen(1))
		l.recordMembers(&peerlink.Status{Region: "s", Neighbours: []string{"127.0.0.11:7700"}})
		Expect(l.AwaitsMembers()).To(BeTrue())
		// Guards against an agent that has just started and knows none yet.
		l.recordMembers(&peerlink.Status{Region: "n", Address: "127.0.0.13:8000"})
		Expect(l.AwaitsMembers()).To(BeTrue(), "one of two agents knows no entry")
		l.recordMembers(&peerlink.Status{Region: "n", Neighbours: []string{"127.0.0.12:7700"}})
		Expect(l.AwaitsMembers()).To(BeFalse())
		Expect(l.Rank("read/op")).To(HaveLen(2))
	})
})

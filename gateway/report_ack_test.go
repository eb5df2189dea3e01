package gateway

import (
	"net"
	"net/netip"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/auburnbend/auburnbend/lib/clock"
	"github.com/auburnbend/auburnbend/lib/directory"
	"github.com/auburnbend/auburnbend/lib/eventlog"
	"github.com/auburnbend/auburnbend/lib/placement"
	"github.com/auburnbend/auburnbend/lib/serving"
	"github.com/auburnbend/auburnbend/peerlink"
)

var _ = Describe("A report that an agent wants acknowledged", func() {
	const address = "127.0.0.2:7700"
	var (
		l        *PeerLink
		agent    *net.UDPConn
		sequence uint64
		now      *clock.Fake
	)
	server := func(start int64) *directory.Server {
		return &directory.Server{ID: "e", StartUnixMilli: start, Service: "drafts", Address: address, Domain: "north", Slots: 8, Weights: map[string]directory.Weights{"m": {Version: 2, Complete: true}}}
	}
	BeforeEach(func() {
		now = clock.NewFake(time.Unix(1000, 0))
		g := New(Config{Clock: now, Log: eventlog.Discard(), Placement: placement.Config{Domain: "north", Regions: map[string]string{"north": "n"}}})
		g.SetConfig(&serving.Config{Version: 1, Services: []serving.Service{{Name: "drafts", Engine: regionEngine}}})
		var err error
		l, err = NewPeerLink(g, "entry", "n", "127.0.0.1", 0, 1)
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(l.conn.Close)
		agent, err = net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(agent.Close)
		sequence = 0
	})
	list := func(servers ...*directory.Server) {
		l.gateway.UpdateServers(func(d *directory.Directory, now time.Time) { d.Replace(servers, false, now) })
	}
	used := func() bool {
		g := l.gateway
		g.mu.Lock()
		defer g.mu.Unlock()
		lease, _ := g.pick(regionRequest, g.now())
		return lease != nil
	}
	report := func(s peerlink.Status) *peerlink.ReportAck {
		sequence++
		s.Address, s.Incarnation, s.Sequence = address, 7, sequence
		l.handleDatagram(&peerlink.Datagram{Status: &s}, agent.LocalAddr().(*net.UDPAddr).AddrPort())
		Expect(agent.SetReadDeadline(time.Now().Add(50 * time.Millisecond))).To(Succeed())
		buf := make([]byte, maxDatagramBytes)
		n, err := agent.Read(buf)
		if err != nil {
			return nil
		}
		var d peerlink.Datagram
		Expect(msgpack.Unmarshal(buf[:n], &d)).To(Succeed())
		return d.ReportAck
	}
	open := func(start int64) peerlink.Status {
		return peerlink.Status{StartUnixMilli: start, Model: "m", Version: 2}
	}
	closed := peerlink.Status{Closed: true, Acknowledge: true}

	It("ends the use by earlier reports for good", func() {
		// Guards against an entry that uses the engine again, by a report that it had before.
		list(server(5))
		Expect(report(open(5))).To(BeNil(), "nothing was to be acknowledged")
		Expect(used()).To(BeTrue())
		Expect(report(closed)).To(Equal(&peerlink.ReportAck{Incarnation: 7, Sequence: 2}))
		l.gateway.picker.Report(server(5).Key(), placement.Load{}, l.gateway.now())
		Expect(used()).To(BeFalse())
		report(open(5))
		Expect(used()).To(BeTrue())
	})

	It("ends the use by earlier reports also if it is on a start without weights", func() {
		// Guards against an entry that knows of the restart and lists the earlier start again.
		list(server(5))
		report(open(5))
		Expect(report(peerlink.Status{StartUnixMilli: 9, Acknowledge: true})).To(HaveField("FirstStart", BeZero()))
		list(server(5))
		Expect(used()).To(BeFalse())
	})

	It("is acknowledged with the start if that is the first one under its ID", func() {
		// Guards against an agent that waits for entries which name another ID.
		list()
		now.Advance(peerlink.VerifiedTTL)
		l.gateway.UpdateServers(func(d *directory.Directory, at time.Time) {
			d.Apply([]directory.Change{{ID: "e", Server: server(5)}}, false, at)
		})
		empty := peerlink.Status{StartUnixMilli: 5, Acknowledge: true}
		Expect(report(empty)).To(HaveField("FirstStart", int64(5)))
		Expect(report(peerlink.Status{Closed: true, Acknowledge: true})).To(HaveField("FirstStart", BeZero()))
		l.gateway.UpdateServers(func(d *directory.Directory, at time.Time) {
			d.Apply([]directory.Change{{ID: "e", Server: server(6)}}, false, at)
		})
		empty.StartUnixMilli = 6
		Expect(report(empty)).To(HaveField("FirstStart", BeZero()), "started again under the same ID")
	})

	It("ends the use by earlier reports also if the row is read later", func() {
		// Guards against a report on the start whose row is read after the acknowledgement.
		report(open(5))
		Expect(report(closed)).To(Equal(&peerlink.ReportAck{Incarnation: 7, Sequence: 2}))
		list(server(5))
		Expect(used()).To(BeFalse())
	})

	It("is not acknowledged if a later one was applied", func() {
		// Guards against an acknowledgement by which an agent takes the later report for void.
		list(server(5))
		report(open(5))
		sequence = 0
		Expect(report(closed)).To(BeNil())
		l.handleDatagram(&peerlink.Datagram{ReportAck: &peerlink.ReportAck{}}, netip.MustParseAddrPort(address))
		Expect(used()).To(BeTrue())
	})
})

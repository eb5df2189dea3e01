package replica_test

import (
	"net"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/auburnbend/auburnbend/peerlink"
	"github.com/auburnbend/auburnbend/replica"
)

var _ = Describe("Beacon", func() {
	// subscribe asks the first agent of a fleet for reports.
	ask := func(conn *net.UDPConn, loads bool, start uint64) {
		data, err := msgpack.Marshal(&peerlink.Datagram{Subscription: &peerlink.Subscription{Entry: "e", Region: "0", Incarnation: start, EveryChange: loads}})
		Expect(err).NotTo(HaveOccurred())
		_, err = conn.Write(data)
		Expect(err).NotTo(HaveOccurred())
	}
	subscribe := func(f *fleet, loads bool) *net.UDPConn {
		conn, err := net.DialUDP("udp", nil, &net.UDPAddr{IP: net.ParseIP(f.host(0)), Port: f.port})
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(conn.Close)
		ask(conn, loads, 1)
		return conn
	}
	// next returns the next report, or nil if none comes within the time.
	next := func(conn *net.UDPConn, within time.Duration) *peerlink.Status {
		Expect(conn.SetReadDeadline(time.Now().Add(within))).To(Succeed())
		buf := make([]byte, 2000)
		n, err := conn.Read(buf)
		if err != nil {
			return nil
		}
		var d peerlink.Datagram
		Expect(msgpack.Unmarshal(buf[:n], &d)).To(Succeed())
		return d.Status
	}

	It("reports at once to an entry that has just asked", func() {
		// Guards against entries that know nothing of an engine for a second after a
		// restart, and send requests to starts that have ended.
		f := newFleet(1)
		b, err := replica.NewLoadReporter(f.replicas[0])
		Expect(err).NotTo(HaveOccurred())
		go b.Run(f.ctx)
		first := subscribe(f, true)
		Expect(next(first, time.Second)).NotTo(BeNil())
		time.Sleep(300 * time.Millisecond)
		second := subscribe(f, false)
		status := next(second, 300*time.Millisecond)
		Expect(status).NotTo(BeNil())
		Expect(status.Version).To(Equal(1))
		Expect(b.Entries()).To(HaveLen(2))
	})

	It("reports at once to an entry that has started anew at its address", func() {
		// Guards against an entry that knows nothing for a second after a quick restart.
		f := newFleet(1)
		b, err := replica.NewLoadReporter(f.replicas[0])
		Expect(err).NotTo(HaveOccurred())
		go b.Run(f.ctx)
		conn := subscribe(f, false)
		Expect(next(conn, time.Second)).NotTo(BeNil())
		time.Sleep(300 * time.Millisecond)
		ask(conn, false, 2)
		Expect(next(conn, 300*time.Millisecond)).NotTo(BeNil())
	})
})

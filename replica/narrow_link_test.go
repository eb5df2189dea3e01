package replica_test

import (
	"fmt"
	"net"
	"strconv"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/auburnbend/auburnbend/lib/msgstream"
	"github.com/auburnbend/auburnbend/peerlink"
	"github.com/auburnbend/auburnbend/platform/platformtest"
	"github.com/auburnbend/auburnbend/replica"
)

var _ = Describe("Replica behind a narrow link", func() {
	const pieceTime = 250 * time.Millisecond

	// startFetch starts five replicas that serve version 2, and one that fetches it from
	// them over a narrow link, which is the first.
	startFetch := func() (*fleet, *platformtest.NarrowLink) {
		rate := float64(len(pieceData(2, 10))) / pieceTime.Seconds()
		link := platformtest.NewNarrowLink(rate, 100)
		DeferCleanup(link.Close)
		f := newFleet(1, 1, 1, 1, 1, 1)
		// Replica 0 sees its peers at addresses of the link.
		f.setTargetOf(2, f.replicas[1:]...)
		Eventually(func() bool { return allServe(f.engines[1:], 2) }, 20*time.Second).Should(BeTrue())
		peers := []replica.Peer{f.peers[0]}
		for i, p := range f.peers[1:] {
			host := fmt.Sprintf("127.0.3.%d", i+1)
			port := ":" + strconv.Itoa(f.port)
			Expect(link.Receive(host+port, f.host(i+1)+port)).To(Succeed())
			peers = append(peers, replica.Peer{Address: host + ":9", Region: p.Region})
		}
		f.peersOfFirst.Store(&peers)
		f.setTargetOf(2, f.replicas[0])
		return f, link
	}

	It("leaves room on the link for requests to its engine", func() {
		// Guards against requests that wait behind five pieces, for over a second, and
		// reach the engine when its weights are too old to begin them.
		f, link := startFetch()
		// At first the replica cannot know that the link is narrow.
		Eventually(link.WaitTime, 5*time.Second, time.Millisecond).Should(BeNumerically(">", 0))
		time.Sleep(1500 * time.Millisecond)
		longest := time.Duration(0)
		for f.engines[0].version() != 2 {
			longest = max(longest, link.WaitTime())
			time.Sleep(time.Millisecond)
		}
		// A piece, and the lists of pieces that peers announce.
		Expect(longest).To(BeNumerically("<=", 2*pieceTime))
	})

	It("tells its peers, so that they take its place at the origin", func() {
		// Guards against an instance that is the only source of its share of the pieces and
		// sends each of them to all others over its narrow link.
		f, _ := startFetch()
		conn, err := net.Dial("tcp", net.JoinHostPort(f.host(0), strconv.Itoa(f.port)))
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(conn.Close)
		Expect(msgstream.Encode(conn, &peerlink.PieceRequest{Model: "m", Version: 2, Piece: peerlink.NoPiece})).To(Succeed())
		Expect(conn.SetReadDeadline(time.Now().Add(20 * time.Second))).To(Succeed())
		decoder := msgstream.NewDecoder(conn, 4<<10, 1<<20)
		for narrow := false; !narrow; {
			var resp peerlink.PieceResponse
			Expect(decoder.Decode(&resp)).To(Succeed())
			narrow = resp.Narrow
		}
	})

	It("tells entries how long requests may wait on the link", func() {
		// Guards against requests on older weights that reach the engine after the deadline
		// of these weights: only the agent knows that pieces fill the link.
		f, link := startFetch()
		reporter, err := replica.NewLoadReporter(f.replicas[0])
		Expect(err).NotTo(HaveOccurred())
		go reporter.Run(f.ctx)
		conn, err := net.DialUDP("udp", nil, &net.UDPAddr{IP: net.ParseIP(f.host(0)), Port: f.port})
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(conn.Close)
		subscription, err := msgpack.Marshal(&peerlink.Datagram{Subscription: &peerlink.Subscription{Entry: "e", Region: "0", Incarnation: 1, EveryChange: true}})
		Expect(err).NotTo(HaveOccurred())
		_, err = conn.Write(subscription)
		Expect(err).NotTo(HaveOccurred())
		reportedDelay := func() time.Duration {
			Expect(conn.SetReadDeadline(time.Now().Add(5 * time.Second))).To(Succeed())
			buf := make([]byte, 2000)
			n, err := conn.Read(buf)
			Expect(err).NotTo(HaveOccurred())
			var d peerlink.Datagram
			Expect(msgpack.Unmarshal(buf[:n], &d)).To(Succeed())
			return time.Duration(d.Status.LinkDelayMicros) * time.Microsecond
		}
		Eventually(reportedDelay, 10*time.Second).Should(BeNumerically(">=", pieceTime/2))
		// The rest comes over a wide link.
		link.SetRate(1e6)
		Eventually(reportedDelay, 10*time.Second).Should(BeZero())
	})
})

func allServe(engines []*fakeEngine, version int) bool {
	for _, e := range engines {
		if e.version() != version {
			return false
		}
	}
	return true
}

package sockopt_test

import (
	"context"
	"net"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"golang.org/x/sys/unix"

	"github.com/auburnbend/auburnbend/lib/sockopt"
)

// control runs do with the file descriptor of a connection.
func control(conn net.Conn, do func(fd int) error) {
	raw, err := conn.(syscall.Conn).SyscallConn()
	Expect(err).NotTo(HaveOccurred())
	Expect(raw.Control(func(fd uintptr) { err = do(int(fd)) })).To(Succeed())
	Expect(err).NotTo(HaveOccurred())
}

// dropSegments makes the kernel drop all segments that arrive on a connection.
func dropSegments(conn net.Conn) {
	drop := []unix.SockFilter{{Code: unix.BPF_RET | unix.BPF_K, K: 0}}
	control(conn, func(fd int) error {
		return unix.SetsockoptSockFprog(fd, unix.SOL_SOCKET, unix.SO_ATTACH_FILTER, &unix.SockFprog{Len: 1, Filter: &drop[0]})
	})
}

// deliverSegments ends dropSegments.
func deliverSegments(conn net.Conn) {
	control(conn, func(fd int) error { return unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_DETACH_FILTER, 0) })
}

// unansweredProbes returns the number of probes since the last acknowledgement.
func unansweredProbes(conn net.Conn) func() int {
	return func() (probes int) {
		control(conn, func(fd int) error {
			info, err := unix.GetsockoptTCPInfo(fd, unix.IPPROTO_TCP, unix.TCP_INFO)
			if err == nil {
				probes = int(info.Probes)
			}
			return err
		})
		return probes
	}
}

var _ = Describe("A connection with a prober", func() {
	const (
		wait = 10 * time.Second
		// stabilityTime is the time after a change of a link, as users declare it, in which
		// the other bounds need not hold.
		stabilityTime = 3 * time.Second
	)
	var client, server net.Conn

	BeforeEach(func() {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(l.Close)
		client, err = sockopt.Dialer(wait).DialContext(context.Background(), "tcp", l.Addr().String())
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(client.Close)
		DeferCleanup(sockopt.NewProber(client).Stop)
		server, err = l.Accept()
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(server.Close)
		Expect(client.SetReadDeadline(time.Now().Add(wait))).To(Succeed())
	})

	// Guards against a request that ends because one probe to a sound, silent server is lost.
	It("survives the loss of a probe", func() {
		dropSegments(server)
		Eventually(unansweredProbes(client)).WithTimeout(wait).WithPolling(time.Millisecond).Should(Equal(1))
		deliverSegments(server)
		Eventually(unansweredProbes(client)).WithTimeout(wait).WithPolling(time.Millisecond).Should(BeZero())
		_, err := server.Write([]byte("answer"))
		Expect(err).NotTo(HaveOccurred())
		answer := make([]byte, 6)
		_, err = client.Read(answer)
		Expect(err).NotTo(HaveOccurred())
	})

	// Guards against requests that wait for a peer whose link stays down.
	It("is closed within the stability time if the peer doesn't respond", func() {
		dropSegments(server)
		started := time.Now()
		_, err := client.Read(make([]byte, 1))
		Expect(err).To(MatchError(syscall.ETIMEDOUT))
		Expect(time.Since(started)).To(BeNumerically("<", stabilityTime))
	})
})

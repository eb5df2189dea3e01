package sockopt_test

import (
	"context"
	"io"
	"net"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"golang.org/x/sys/unix"

	"github.com/auburnbend/auburnbend/lib/sockopt"
)

var _ = Describe("A connection with a prober whose window is full", func() {
	const (
		wait      = 20 * time.Second
		sentBytes = 8 << 20
		// pause is longer than the time after which a silent peer loses its connection.
		pause = 5 * time.Second
		// silenceLimit is twice the time after which a peer without a full window loses it, as
		// Linux probes full windows at growing intervals.
		silenceLimit = 5 * time.Second
	)
	var client, server *net.TCPConn
	var written chan error

	BeforeEach(func() {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(l.Close)
		conn, err := sockopt.Dialer(wait).DialContext(context.Background(), "tcp", l.Addr().String())
		Expect(err).NotTo(HaveOccurred())
		client = conn.(*net.TCPConn)
		DeferCleanup(client.Close)
		prober := sockopt.NewProber(client)
		DeferCleanup(prober.Stop)
		accepted, err := l.Accept()
		Expect(err).NotTo(HaveOccurred())
		server = accepted.(*net.TCPConn)
		DeferCleanup(server.Close)
		Expect(server.SetReadBuffer(64 << 10)).To(Succeed())
		Expect(server.SetDeadline(time.Now().Add(wait))).To(Succeed())
		written = make(chan error, 1)
		go func() {
			_, err := client.Write(make([]byte, sentBytes))
			prober.EndWrites()
			written <- err
		}()
	})

	isFull := func() (full bool) {
		control(client, func(fd int) error {
			info, err := unix.GetsockoptTCPInfo(fd, unix.IPPROTO_TCP, unix.TCP_INFO)
			full = err == nil && info.Notsent_bytes > 0 && info.Unacked == 0
			return err
		})
		return full
	}

	It("survives a peer that does not read yet", func() {
		// Guards against requests that are cut because a sound server reads them late.
		for range 2 {
			Eventually(isFull, wait).Should(BeTrue())
			Consistently(written, pause).ShouldNot(Receive())
			_, err := io.CopyN(io.Discard, server, sentBytes/4)
			Expect(err).NotTo(HaveOccurred())
		}
		_, err := io.CopyN(io.Discard, server, sentBytes/2)
		Expect(err).NotTo(HaveOccurred())
		Eventually(written, wait).Should(Receive(Succeed()))
	})

	It("is closed if the peer falls silent", func() {
		// Guards against a full window that hides a dead link.
		Eventually(isFull, wait).Should(BeTrue())
		Consistently(written, pause).ShouldNot(Receive())
		dropSegments(server)
		Eventually(written, silenceLimit).Should(Receive(MatchError(unix.ETIMEDOUT)))
	})
})

package node

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/auburnbend/auburnbend/platform"
)

var _ = Describe("connLimits", func() {
	DescribeTable("keep to the descriptors and the memory of an instance",
		// Guards against limits that sum up to more than the instance has, or that leave no
		// connection.
		func(memoryMB int64, descriptors int) {
			l := newConnLimits(&platform.Settings{MemoryLimit: memoryMB << 20, MaxDescriptors: descriptors})
			Expect(2*l.callers + l.ready + l.metrics + l.tables).To(BeNumerically("<=", max(descriptors-reservedDescriptors, 32)))
			Expect(int64(l.callers) * connMemoryBytes).To(BeNumerically("<=", memoryMB<<20/4))
			Expect(l.callers).To(BeNumerically(">", 0))
		},
		Entry(nil, int64(184), 4100), Entry(nil, int64(536), 8192), Entry(nil, int64(96), 600), Entry(nil, int64(64), 210),
	)
})

var _ = Describe("callerServer with misbehaving callers", func() {
	var address string
	var served atomic.Int64
	release := make(chan struct{})
	listen := func(limit int, headBytes int64) {
		served.Store(0)
		ln, err := listenCallers("127.0.0.1:0", limit, headBytes)
		Expect(err).NotTo(HaveOccurred())
		server := startCallerServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if _, err := io.Copy(io.Discard, r.Body); err != nil {
				return
			}
			served.Add(1)
			if r.URL.Path == "/wait" {
				<-release
			}
		}), ln)
		DeferCleanup(func() {
			_ = ln.TCPListener.Close()
			_ = server.http.Close()
		})
		address = ln.Addr().String()
	}
	send := func(text string) net.Conn {
		conn, err := net.Dial("tcp", address)
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(func() { _ = conn.Close() })
		Expect(conn.SetDeadline(time.Now().Add(5 * time.Second))).To(Succeed())
		_, err = io.WriteString(conn, text)
		Expect(err).NotTo(HaveOccurred())
		return conn
	}
	status := func(conn net.Conn) int {
		resp, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: http.MethodPost})
		if err != nil {
			return 0
		}
		return resp.StatusCode
	}
	fields := func(n int) string {
		var b strings.Builder
		for i := range n {
			fmt.Fprintf(&b, "f%d:\r\n", i)
		}
		return b.String()
	}
	const start = "POST / HTTP/1.1\r\nHost: a\r\n"

	It("refuses requests with too many fields and serves those with many", func() {
		// Guards against heads whose fields take twenty times their size in memory.
		listen(10, 1<<20)
		Expect(status(send(start + fields(500) + "\r\n"))).To(Equal(http.StatusOK))
		Expect(served.Load()).To(BeEquivalentTo(1))
		Expect(status(send(start + fields(600) + "\r\n"))).To(Equal(http.StatusRequestHeaderFieldsTooLarge))
		Expect(served.Load()).To(BeEquivalentTo(1))
	})

	It("refuses long heads that find no memory as not run, and serves them later", func() {
		// Guards against heads of legal size that take the memory of the process together.
		listen(10, 64<<10)
		long := "A: " + strings.Repeat("x", 30<<10) + "\r\n"
		first := send(start + long)
		Eventually(func() int {
			return status(send(start + long + "\r\n"))
		}).WithTimeout(5 * time.Second).Should(Equal(http.StatusServiceUnavailable))
		Expect(served.Load()).To(BeZero())
		Expect(first.Close()).To(Succeed())
		Eventually(func() int { return status(send(start + long + "\r\n")) }).WithTimeout(5 * time.Second).Should(Equal(http.StatusOK))
	})

	It("closes connections without progress for new ones, and none whose request has been received", func() {
		// Guards against connections that shut out all other callers, and against an answer
		// that is lost although the request has run.
		listen(6, 1<<20)
		waiting := send("POST /wait HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\n\r\nx")
		waitingToo := send("GET /wait HTTP/1.1\r\nHost: a\r\n\r\n")
		Eventually(served.Load).Should(BeEquivalentTo(2))
		idle := send("GET / HTTP/1.1\r\nHost: a\r\n\r\n")
		Expect(status(idle)).To(Equal(http.StatusOK))
		for range 3 {
			for _, text := range []string{"", start + "Conte", start + "Content-Length: 9\r\n\r\nx"} {
				send(text)
			}
		}
		Expect(status(send("GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n"))).To(Equal(http.StatusOK))
		_, err := idle.Read(make([]byte, 1))
		Expect(err).To(MatchError(io.EOF))
		close(release)
		Expect(status(waiting)).To(Equal(http.StatusOK))
		Expect(status(waitingToo)).To(Equal(http.StatusOK))
	})
})

package node

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/auburnbend/auburnbend/internal/loopback"
)

// startLateReader starts a backend server that answers a request when it has read its head, and
// its body once readOn is closed. taken receives the length of what it has read.
func startLateReader(e *entryUnderTest, readOn <-chan struct{}, taken chan<- int64) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(ln.Close)
	go loopback.Serve(ln, func(conn *net.TCPConn) {
		_ = conn.SetReadBuffer(64 << 10)
		r, err := http.ReadRequest(bufio.NewReader(conn))
		if err != nil {
			return
		}
		id := r.Header.Get("X-Attempt-Id")
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Server-Signature: s\r\nContent-Length: 4\r\n\r\ndone", id)
		<-readOn
		n, _ := io.Copy(io.Discard, r.Body)
		taken <- n
	})
	e.putServerAt("desk-1", ln.Addr().String(), "ready")
}

var _ = Describe("An entry that stops while a server has not read a request that it has answered", func() {
	const (
		uploadBytes = 4 << 20
		stopTime    = 4 * time.Second
		soon        = 10 * time.Second
	)
	// upload returns the status of a long request, once the entry serves it.
	upload := func(e *entryUnderTest) int {
		r, err := http.NewRequest(http.MethodPost, "http://"+e.settings.CallerAddress+"/order/x", bytes.NewReader(make([]byte, uploadBytes)))
		Expect(err).NotTo(HaveOccurred())
		r.Host = "a.example"
		r.Header.Set("X-Attempt-Id", "upload")
		r.Header.Set("Authorization", "Token key")
		resp, err := http.DefaultClient.Do(r)
		if err != nil {
			return 0
		}
		defer resp.Body.Close()
		_, err = io.Copy(io.Discard, resp.Body)
		Expect(err).NotTo(HaveOccurred())
		return resp.StatusCode
	}

	It("sends the rest before it exits", func() {
		// Guards against the rest of a request that is lost with the process that holds it.
		e := startEntryWith(stopTime, nil)
		readOn, taken := make(chan struct{}), make(chan int64, 1)
		startLateReader(e, readOn, taken)
		e.putConfig(1, newRoute("/order/"))
		Eventually(func() int { return upload(e) }, soon).Should(Equal(http.StatusOK))
		e.stop()
		Consistently(e.done, time.Second).ShouldNot(Receive())
		close(readOn)
		Eventually(taken, soon).Should(Receive(BeEquivalentTo(uploadBytes)))
		Eventually(e.done, soon).Should(Receive(Succeed()))
	})

	It("exits in its stop time if the server never reads on", func() {
		// Guards against a process that a slow server keeps from its exit.
		e := startEntryWith(stopTime, nil)
		readOn := make(chan struct{})
		DeferCleanup(func() { close(readOn) })
		startLateReader(e, readOn, make(chan int64, 1))
		e.putConfig(1, newRoute("/order/"))
		Eventually(func() int { return upload(e) }, soon).Should(Equal(http.StatusOK))
		Eventually(e.scrapeMetrics).Should(MatchRegexp(`connections_lingering\S* 1`))
		stopped := time.Now()
		e.stop()
		Eventually(e.done, soon).Should(Receive(Succeed()))
		Expect(time.Since(stopped)).To(BeNumerically("<", stopTime))
		Expect(e.logs.String()).To(ContainSubstring("event=7220"))
	})
})

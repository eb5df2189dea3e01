package engine_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/auburnbend/auburnbend/internal/loopback"
	"github.com/auburnbend/auburnbend/lib/engine"
)

// startLateReader starts a plain service that answers when it has read a part of a long
// request, and reads on after a time. taken receives the length of the body that it has read.
func startLateReader(lateness time.Duration, taken chan<- int64) (address string) {
	const readFirst = 64 << 10
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(ln.Close)
	go loopback.Serve(ln, func(conn *net.TCPConn) {
		_ = conn.SetReadBuffer(readFirst)
		r, err := http.ReadRequest(bufio.NewReader(conn))
		if err != nil {
			return
		}
		first, _ := io.CopyN(io.Discard, r.Body, readFirst)
		_, _ = fmt.Fprint(conn, "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nfine")
		time.Sleep(lateness)
		rest, _ := io.Copy(io.Discard, r.Body)
		taken <- first + rest
	})
	return "http://" + ln.Addr().String()
}

var _ = DescribeTable("A plain service that answers before it has read a long request gets all of it",
	// Guards against requests that are cut once their answer is read.
	func(bytes int, lateness time.Duration) {
		taken := make(chan int64, 1)
		client, err := engine.NewPlainClient(engine.Config{Address: startLateReader(lateness, taken)})
		Expect(err).NotTo(HaveOccurred())
		response, err := client.Call(context.Background(), engine.PlainRequest{ID: "late", Service: "keep", Body: make([]byte, bytes)})
		Expect(err).NotTo(HaveOccurred())
		Expect(string(response.Body)).To(Equal("fine"))
		Eventually(taken, 10*time.Second).Should(Receive(BeEquivalentTo(bytes)))
	},
	Entry("which fits into the buffers of the sender", 1<<20, 500*time.Millisecond),
	Entry("which fits into the buffers of the sender, late", 1<<20, 4*time.Second),
	Entry("which does not fit", 16<<20, 500*time.Millisecond),
	Entry("which does not fit, late", 16<<20, 4*time.Second),
)

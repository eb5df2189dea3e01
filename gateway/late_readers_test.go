package gateway

import (
	"io"
	"net"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/auburnbend/auburnbend/lib/serving"
)

var _ = Describe("Servers that read a long body late", func() {
	// lateness is longer than the time after which a silent server loses its connection.
	const lateness = 4 * time.Second

	DescribeTable("get it as a whole, and their answers are passed on",
		// Guards against connections that are closed because their window is full, so that half
		// an answer looks whole, or the caller of a sound server gets 502.
		func(serve func(conn *net.TCPConn, read func())) {
			taken := make(chan int64, 1)
			bed := newEarlyBed(serving.NonIdempotent, false, func(conn *net.TCPConn, body io.Reader) {
				serve(conn, func() {
					n, _ := io.Copy(io.Discard, body)
					taken <- n
				})
			})
			status, answer, err := bed.post(largestBody)
			Expect(err).NotTo(HaveOccurred())
			Expect(status).To(Equal(http.StatusOK))
			Expect(answer).To(Equal(wholeText))
			Eventually(taken).Should(Receive(BeEquivalentTo(largestBody - earlyReadBytes)))
		},
		Entry("before the answer", func(conn *net.TCPConn, read func()) {
			time.Sleep(lateness)
			read()
			_, _ = io.WriteString(conn, unmarkedHead+wholeText)
		}),
		Entry("after a slow answer without a length", func(conn *net.TCPConn, read func()) {
			_, _ = io.WriteString(conn, unmarkedHead+halfText)
			time.Sleep(lateness)
			_, _ = io.WriteString(conn, wholeText[len(halfText):])
			read()
		}),
		Entry("within a slow answer with a length", func(conn *net.TCPConn, read func()) {
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 17\r\n\r\n"+halfText)
			time.Sleep(lateness)
			read()
			_, _ = io.WriteString(conn, wholeText[len(halfText):])
		}),
	)
})

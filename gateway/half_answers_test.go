package gateway

import (
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"golang.org/x/sys/unix"

	"github.com/auburnbend/auburnbend/lib/serving"
)

const (
	unmarkedHead = "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Type: text/plain\r\n\r\n"
	unmarkedFeed = "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Type: text/event-stream\r\n\r\n"
	halfText     = "half of "
	wholeText    = halfText + "an answer"
	firstEvent   = "id: 0\ndata: a\n\n"
	wholeEvents  = firstEvent + "id: 1\ndata: b\n\n"
)

// silence makes the operating system drop whatever arrives on a connection, as a network does
// that has lost track of it.
func silence(conn *net.TCPConn) {
	drop := []unix.SockFilter{{Code: unix.BPF_RET | unix.BPF_K, K: 0}}
	raw, err := conn.SyscallConn()
	if err != nil {
		return
	}
	_ = raw.Control(func(fd uintptr) {
		_ = unix.SetsockoptSockFprog(int(fd), syscall.SOL_SOCKET, unix.SO_ATTACH_FILTER, &unix.SockFprog{Len: 1, Filter: &drop[0]})
	})
}

var _ = Describe("Answers without a length while a long body is sent", func() {
	// callers is the number of requests at a time. Whether the reader or the writer of a
	// connection learns of its end differs from one to the next.
	const callers = 8

	half := func(text string, end func(conn *net.TCPConn)) earlyServer {
		return func(conn *net.TCPConn, _ io.Reader) {
			_, _ = io.WriteString(conn, text)
			end(conn)
		}
	}
	resetInOrder := func(conn *net.TCPConn) {
		_ = conn.CloseWrite()
		reset(conn)
	}
	fallSilent := func(conn *net.TCPConn) {
		silence(conn)
		// The connection stays open until the test process ends.
		select {}
	}

	DescribeTable("are not whole if the connection is reset or times out",
		// Guards against half an answer that looks whole, because the goroutine that sends the
		// body has taken the error of the connection.
		func(kind serving.RequestKind, half earlyServer) {
			bed := newEarlyBed(kind, false, half)
			var calls sync.WaitGroup
			for range callers {
				calls.Go(func() {
					defer GinkgoRecover()
					status, answer, err := bed.post(largestBody)
					if status/100 == 2 {
						Expect(err).To(HaveOccurred(), "answer %q looks whole", answer)
					}
				})
			}
			calls.Wait()
		},
		Entry("reset", serving.NonIdempotent, half(unmarkedHead+halfText, reset)),
		Entry("reset after an end in order", serving.NonIdempotent, half(unmarkedHead+halfText, resetInOrder)),
		Entry("a peer that falls silent", serving.NonIdempotent, half(unmarkedHead+halfText, fallSilent)),
		Entry("stream, reset", serving.Streaming, half(unmarkedFeed+firstEvent, reset)),
		Entry("stream, reset after an end in order", serving.Streaming, half(unmarkedFeed+firstEvent, resetInOrder)),
		Entry("stream, a peer that falls silent", serving.Streaming, half(unmarkedFeed+firstEvent, fallSilent)),
		Entry("a success that is no stream on a route of streams, reset", serving.Streaming, half(strings.Replace(unmarkedFeed, "200 OK", "201 Created", 1)+firstEvent, reset)),
	)

	DescribeTable("are taken over from another server if the request may be repeated",
		// Guards against half an answer in place of that of another server.
		func(kind serving.RequestKind, half, whole earlyServer, want string) {
			for range callers {
				bed := newEarlyBed(kind, true, half, whole)
				status, answer, err := bed.post(largestBody)
				Expect(err).NotTo(HaveOccurred())
				Expect(status).To(Equal(http.StatusOK))
				Expect(answer).To(Equal(want))
			}
		},
		Entry("idempotent", serving.Idempotent, half(unmarkedHead+halfText, reset),
			earlyServer(func(conn *net.TCPConn, body io.Reader) {
				_, _ = io.Copy(io.Discard, body)
				_, _ = io.WriteString(conn, unmarkedHead+wholeText)
			}), wholeText),
		Entry("stream", serving.Streaming, half(unmarkedFeed+firstEvent, reset),
			earlyServer(func(conn *net.TCPConn, body io.Reader) {
				_, _ = io.Copy(io.Discard, body)
				_, _ = io.WriteString(conn, unmarkedFeed+strings.TrimPrefix(wholeEvents, firstEvent))
			}), wholeEvents),
	)

	DescribeTable("are whole if the server ends them in order and has taken the request",
		// Guards against sound answers that are refused.
		func(kind serving.RequestKind, size int, answer, want string) {
			bed := newEarlyBed(kind, false, func(conn *net.TCPConn, body io.Reader) {
				_, _ = io.WriteString(conn, answer)
				_ = conn.CloseWrite()
				_, _ = io.Copy(io.Discard, body)
			})
			status, text, err := bed.post(size)
			Expect(err).NotTo(HaveOccurred())
			Expect(status).To(Equal(http.StatusOK))
			Expect(text).To(Equal(want))
		},
		Entry("long body", serving.NonIdempotent, largestBody, unmarkedHead+wholeText, wholeText),
		Entry("short body", serving.NonIdempotent, 100, unmarkedHead+wholeText, wholeText),
		Entry("no body", serving.NonIdempotent, 0, unmarkedHead+wholeText, wholeText),
		Entry("stream", serving.Streaming, largestBody, unmarkedFeed+wholeEvents, wholeEvents),
	)

	It("are whole with a length, also if the connection is reset after them", func() {
		// Guards against whole answers that are replaced, as their length shows that they are.
		bed := newEarlyBed(serving.NonIdempotent, false, half("HTTP/1.1 200 OK\r\nContent-Length: 17\r\n\r\n"+wholeText, reset))
		for range callers {
			status, answer, err := bed.post(largestBody)
			Expect(err).NotTo(HaveOccurred())
			Expect(status).To(Equal(http.StatusOK))
			Expect(answer).To(Equal(wholeText))
		}
	})
})

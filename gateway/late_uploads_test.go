package gateway

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/auburnbend/auburnbend/lib/serving"
)

// lateReader is a server that answers and reads on when it is told to.
type lateReader struct {
	answer string
	// readOn lets all connections read on when it is closed.
	readOn chan struct{}
	// taken receives, for each connection, the bytes of the body that came after the answer.
	taken chan int64
}

func newLateReader(answer string) *lateReader {
	return &lateReader{answer: answer, readOn: make(chan struct{}), taken: make(chan int64, 100)}
}

// serve implements earlyServer. It keeps the connection, as for further requests.
func (s *lateReader) serve(conn *net.TCPConn, body io.Reader) {
	_, _ = io.WriteString(conn, s.answer)
	<-s.readOn
	n, _ := io.Copy(io.Discard, body)
	s.taken <- n
	_, _ = io.Copy(io.Discard, conn)
}

// markedAnswer returns an answer with a length.
func markedAnswer(status int) string {
	return fmt.Sprintf("HTTP/1.1 %d %s\r\nContent-Length: %d\r\n\r\n%s", status, http.StatusText(status), len(wholeText), wholeText)
}

const (
	chunkedAnswer = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n11\r\n" + wholeText + "\r\n0\r\n\r\n"
	chunkedFeed   = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n1e\r\n" + wholeEvents + "\r\n0\r\n\r\n"
)

var _ = Describe("Servers that answer before they have read a long body", func() {
	const (
		wait = 10 * time.Second
		soon = 500 * time.Millisecond
		// late is longer than the time for which a full window may close a connection.
		late = 3 * time.Second
	)

	DescribeTable("get all of it, however late they read on",
		// Guards against uploads of which the server gets a part though their callers have a
		// success, as the connection is closed after the answer.
		func(options earlyOptions, answer string, size int, lateness time.Duration, wantStatus int) {
			server := newLateReader(answer)
			bed := newEarlyBedWith(options, server.serve)
			status, _, err := bed.post(size)
			Expect(err).NotTo(HaveOccurred())
			Expect(status).To(Equal(wantStatus))
			// The caller leaves.
			bed.front.CloseClientConnections()
			time.Sleep(lateness)
			close(server.readOn)
			readFirst := earlyReadBytes
			if options.readBuffer > 0 {
				readFirst = options.readBuffer
			}
			Eventually(server.taken, wait).Should(Receive(BeEquivalentTo(size - readFirst)))
			Eventually(func() int { return bed.gateway.State().Lingering }, wait).Should(BeZero())
			Expect(bed.gateway.State().HeldBodies.Bytes).To(BeZero())
		},
		Entry("with a length", earlyOptions{kind: serving.NonIdempotent}, markedAnswer(200), largestBody, soon, 200),
		Entry("with a length, late", earlyOptions{kind: serving.NonIdempotent}, markedAnswer(200), largestBody, late, 200),
		Entry("with a body that fits into the buffers of the sender, late", earlyOptions{kind: serving.NonIdempotent}, markedAnswer(200), 1<<20, late, 200),
		Entry("with a short body and small buffers, late", earlyOptions{kind: serving.NonIdempotent, readBuffer: 2 << 10}, markedAnswer(200), 16<<10, late, 200),
		Entry("in chunks", earlyOptions{kind: serving.NonIdempotent}, chunkedAnswer, largestBody, soon, 200),
		Entry("without a body", earlyOptions{kind: serving.NonIdempotent}, "HTTP/1.1 204 No Content\r\n\r\n", largestBody, soon, 204),
		Entry("an idempotent request", earlyOptions{kind: serving.Idempotent}, markedAnswer(200), largestBody, soon, 200),
		Entry("a stream of events", earlyOptions{kind: serving.Streaming}, chunkedFeed, largestBody, soon, 200),
		Entry("a stream of events, late", earlyOptions{kind: serving.Streaming}, chunkedFeed, largestBody, late, 200),
		Entry("a redirection", earlyOptions{kind: serving.NonIdempotent}, markedAnswer(303), largestBody, soon, 303),
		Entry("a failure of the caller", earlyOptions{kind: serving.NonIdempotent}, markedAnswer(409), largestBody, soon, 409),
		Entry("a failure of the server", earlyOptions{kind: serving.NonIdempotent}, markedAnswer(500), largestBody, soon, 500),
		Entry("a refusal that does not rule out a run", earlyOptions{kind: serving.NonIdempotent}, markedAnswer(503), largestBody, soon, 502),
		Entry("after the time limit of the request", earlyOptions{kind: serving.NonIdempotent, timeout: soon}, markedAnswer(200), largestBody, 2*soon, 200),
		Entry("more bytes than the answer", earlyOptions{kind: serving.NonIdempotent}, markedAnswer(200)+markedAnswer(200), largestBody, soon, 200),
	)

	It("get all of it if another server is asked as well", func() {
		// Guards against an attempt that is cut because its request is retried.
		failing, sound := newLateReader(markedAnswer(500)), newLateReader(markedAnswer(200))
		bed := newEarlyBed(serving.Idempotent, false, failing.serve, sound.serve)
		status, _, err := bed.post(beyondBuffers)
		Expect(err).NotTo(HaveOccurred())
		Expect(status).To(Equal(http.StatusOK))
		Expect(bed.gateway.State().HeldBodies.Bytes).To(BeEquivalentTo(beyondBuffers))
		for _, server := range []*lateReader{failing, sound} {
			close(server.readOn)
			Eventually(server.taken, wait).Should(Receive(BeEquivalentTo(beyondBuffers - earlyReadBytes)))
		}
		Eventually(func() int64 { return bed.gateway.State().HeldBodies.Bytes }, wait).Should(BeZero())
	})

	It("get all of it if they answer in place of a silent server, which is told to stop", func() {
		// Guards against a hedged attempt that is cut after its answer, and against one that goes
		// on though the caller has the answer of another server.
		stopped := make(chan error, 1)
		silent := func(conn *net.TCPConn, body io.Reader) {
			defer GinkgoRecover()
			Expect(conn.SetReadDeadline(time.Now().Add(wait))).To(Succeed())
			buf := make([]byte, 4<<10)
			for {
				if _, err := body.Read(buf); err != nil {
					stopped <- err
					return
				}
				time.Sleep(time.Millisecond)
			}
		}
		sound := newLateReader(markedAnswer(200))
		bed := newEarlyBedWith(earlyOptions{kind: serving.Idempotent, target: 20 * time.Millisecond}, silent, sound.serve)
		status, answer, err := bed.post(largestBody)
		Expect(err).NotTo(HaveOccurred())
		Expect(status).To(Equal(http.StatusOK))
		Expect(answer).To(Equal(wholeText))
		Eventually(stopped, wait).Should(Receive(MatchError(io.ErrUnexpectedEOF)))
		close(sound.readOn)
		Eventually(sound.taken, wait).Should(Receive(BeEquivalentTo(largestBody - earlyReadBytes)))
		Eventually(func() int64 { return bed.gateway.State().HeldBodies.Bytes }, wait).Should(BeZero())
	})

	It("do not delay the next requests of the caller", func() {
		// Guards against a connection of a caller that waits for a slow server.
		server := newLateReader(markedAnswer(200))
		bed := newEarlyBed(serving.NonIdempotent, false, server.serve)
		for range 3 {
			status, _, err := bed.post(largestBody)
			Expect(err).NotTo(HaveOccurred())
			Expect(status).To(Equal(http.StatusOK))
		}
		close(server.readOn)
		for range 3 {
			Eventually(server.taken, wait).Should(Receive(BeEquivalentTo(largestBody - earlyReadBytes)))
		}
	})

	It("get no more of it if the caller leaves before the answer", func() {
		// Guards against servers that go on with a request that nobody waits for.
		reading := make(chan struct{})
		ended := make(chan error, 1)
		bed := newEarlyBed(serving.NonIdempotent, false, func(_ *net.TCPConn, body io.Reader) {
			close(reading)
			buf := make([]byte, 32<<10)
			for {
				if _, err := body.Read(buf); err != nil {
					ended <- err
					return
				}
				time.Sleep(10 * time.Millisecond)
			}
		})
		go func() {
			<-reading
			bed.front.CloseClientConnections()
		}()
		status, _, _ := bed.post(largestBody)
		Expect(status).To(BeZero())
		Eventually(ended, wait).Should(Receive(MatchError(io.ErrUnexpectedEOF)))
		Expect(bed.gateway.State().Lingering).To(BeZero())
	})

	It("hold a bounded number of connections and their memory if they never read on", func() {
		// Guards against a server that takes connections and memory without an end.
		const limit, perServer, uploads = 4, 2, 6
		server := newLateReader(markedAnswer(200))
		bed := newEarlyBedWith(earlyOptions{kind: serving.NonIdempotent, maxLingering: limit}, server.serve)
		for range uploads {
			status, _, err := bed.post(beyondBuffers)
			Expect(err).NotTo(HaveOccurred())
			Expect(status).To(Equal(http.StatusOK))
		}
		Eventually(func() int { return bed.gateway.State().Lingering }, wait).Should(Equal(perServer))
		Eventually(func() int64 { return bed.gateway.State().HeldBodies.Bytes }, wait).Should(BeEquivalentTo(perServer * beyondBuffers))
		Eventually(func() int64 { return bed.gateway.State().LingeringCut }, wait).Should(BeEquivalentTo(uploads - perServer))
		close(server.readOn)
		whole := 0
		for range uploads {
			var n int64
			Eventually(server.taken, wait).Should(Receive(&n))
			if n == beyondBuffers-earlyReadBytes {
				whole++
			}
		}
		Expect(whole).To(BeNumerically(">=", perServer))
		Eventually(func() int64 { return bed.gateway.State().HeldBodies.Bytes }, wait).Should(BeZero())
	})

	It("get all of it during a stop, and are cut when its time is over", func() {
		// Guards against a process that exits while it holds the rest of a request, and against
		// one that waits for a slow server.
		server := newLateReader(markedAnswer(200))
		bed := newEarlyBed(serving.NonIdempotent, false, server.serve)
		status, _, err := bed.post(largestBody)
		Expect(err).NotTo(HaveOccurred())
		Expect(status).To(Equal(http.StatusOK))
		drained := make(chan struct{})
		go func() {
			defer close(drained)
			bed.gateway.DrainExchanges(context.Background())
		}()
		Consistently(drained, soon).ShouldNot(BeClosed())
		close(server.readOn)
		Eventually(drained, wait).Should(BeClosed())
		Expect(server.taken).To(Receive(BeEquivalentTo(largestBody - earlyReadBytes)))

		silent := newLateReader(markedAnswer(200))
		bed = newEarlyBed(serving.NonIdempotent, false, silent.serve)
		status, _, err = bed.post(largestBody)
		Expect(err).NotTo(HaveOccurred())
		Expect(status).To(Equal(http.StatusOK))
		ctx, cancel := context.WithTimeout(context.Background(), soon)
		defer cancel()
		bed.gateway.DrainExchanges(ctx)
		Expect(ctx.Err()).To(HaveOccurred())
		Expect(bed.gateway.State().LingeringCut).To(BeEquivalentTo(1))
		close(silent.readOn)
	})
})

package node

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// pausedConn is a connection whose goroutine does not run for a while after it has read
// something.
type pausedConn struct {
	*callerConn
	pause time.Duration
}

// Read implements net.Conn.
func (c *pausedConn) Read(p []byte) (int, error) {
	n, err := c.callerConn.Read(p)
	time.Sleep(c.pause)
	return n, err
}

// pausedListener accepts pausedConns.
type pausedListener struct {
	*callerListener
	pause time.Duration
}

// Accept implements net.Listener.
func (l *pausedListener) Accept() (net.Conn, error) {
	conn, err := l.callerListener.Accept()
	if err != nil {
		return nil, err
	}
	return &pausedConn{callerConn: conn.(*callerConn), pause: l.pause}, nil
}

// keptConn is a caller's connection that is kept.
type keptConn struct {
	net.Conn
	reader *bufio.Reader
}

// read reads a whole response.
func (c *keptConn) read() (*http.Response, error) {
	resp, err := http.ReadResponse(c.reader, &http.Request{Method: http.MethodPost})
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	return resp, err
}

var _ = Describe("callerServer", func() {
	const (
		pause   = 30 * time.Millisecond
		request = "POST / HTTP/1.1\r\nHost: a.example\r\nContent-Length: 4\r\n\r\nbody"
	)
	var (
		listener *callerListener
		server   *callerServer
		handled  atomic.Int64
	)

	BeforeEach(func() {
		var err error
		listener, err = listenCallers("127.0.0.1:0", 100, 1<<20)
		Expect(err).NotTo(HaveOccurred())
		handled.Store(0)
		server = startCallerServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			handled.Add(1)
			body, err := io.ReadAll(r.Body)
			if err != nil || string(body) != "body" {
				return
			}
			// Long enough for net/http to find out that the caller has left.
			time.Sleep(pause)
			if r.Context().Err() == nil {
				fmt.Fprint(w, "fine")
			}
		}), &pausedListener{callerListener: listener, pause: pause})
		DeferCleanup(func() { _ = server.http.Close() })
	})

	// connect opens a connection and gets an answer on it.
	connect := func() *keptConn {
		conn, err := net.Dial("tcp", listener.Addr().String())
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(conn.Close)
		Expect(conn.SetDeadline(time.Now().Add(10 * time.Second))).To(Succeed())
		c := &keptConn{Conn: conn, reader: bufio.NewReader(conn)}
		fmt.Fprint(c, request)
		_, err = c.read()
		Expect(err).NotTo(HaveOccurred())
		return c
	}

	DescribeTable("answers each request of a kept connection that it has read, or does not read it",
		// Guards against a connection that is closed as idle while its next request is being
		// read, so that the request runs and its answer is lost.
		func(parts ...string) {
			const callers = 60
			var conns []*keptConn
			for range callers {
				conns = append(conns, connect())
			}
			// The last reads of the answered requests end.
			time.Sleep(4 * pause)
			before := handled.Load()
			results := make(chan bool, callers)
			closesAt, closed := time.Now().Add(2*pause), make(chan struct{})
			for i, c := range conns {
				go func() {
					if late := i - callers*2/3; late < 0 {
						time.Sleep(time.Until(closesAt.Add(time.Duration(late) * time.Millisecond)))
					} else {
						<-closed
						time.Sleep(time.Duration(late) * 3 * time.Millisecond)
					}
					for _, part := range parts {
						_, _ = io.WriteString(c, part)
						time.Sleep(time.Millisecond)
					}
					resp, err := c.read()
					results <- err == nil && resp.StatusCode == http.StatusOK && resp.ContentLength == int64(len("fine"))
				}()
			}
			time.Sleep(time.Until(closesAt))
			Expect(listener.Close()).To(Succeed())
			close(closed)
			ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
			defer cancel()
			Expect(server.drain(ctx)).To(Succeed())
			answered := int64(0)
			for range callers {
				if <-results {
					answered++
				}
			}
			AddReportEntry("answered, not read", []int64{answered, callers - answered})
			Expect(handled.Load()-before).To(Equal(answered), "requests that were handled, and answered")
			Expect(answered).To(BeNumerically(">", callers/4))
			Expect(answered).To(BeNumerically("<", callers))
		},
		Entry("in one part", request),
		Entry("in two parts, split in its body", request[:len(request)-2], request[len(request)-2:]),
		Entry("in two parts, split in its head", request[:20], request[20:]),
	)

	It("answers a request of which a part had come when the listener closed", func() {
		// Guards against a request that is dropped although its caller was still sending it.
		c := connect()
		time.Sleep(4 * pause)
		_, err := io.WriteString(c, request[:20])
		Expect(err).NotTo(HaveOccurred())
		time.Sleep(2 * pause)
		Expect(listener.Close()).To(Succeed())
		drained := make(chan error, 1)
		go func() { drained <- server.drain(context.Background()) }()
		time.Sleep(4 * pause)
		_, err = io.WriteString(c, request[20:])
		Expect(err).NotTo(HaveOccurred())
		resp, err := c.read()
		Expect(err).NotTo(HaveOccurred())
		Expect(resp.StatusCode).To(Equal(http.StatusOK))
		Eventually(drained, 5*time.Second).Should(Receive(BeNil()))
	})

	It("closes idle connections at once", func() {
		// Guards against a stop that waits for callers that send nothing more.
		idle := connect()
		Expect(listener.Close()).To(Succeed())
		began := time.Now()
		Expect(server.drain(context.Background())).To(Succeed())
		Expect(time.Since(began)).To(BeNumerically("<", time.Second))
		_, err := idle.reader.ReadByte()
		Expect(err).To(MatchError(io.EOF))
	})
})

var _ = Describe("callerConns", func() {
	It("lets a connection be read again once its next request has been read", func() {
		// Guards against a pipelined request whose caller seems to have left, because reads were
		// stopped while the connection was idle.
		ln, err := listenCallers("127.0.0.1:0", 100, 1<<20)
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(ln.TCPListener.Close)
		caller, err := net.Dial("tcp", ln.Addr().String())
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(caller.Close)
		conn, err := ln.Accept()
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(conn.Close)
		conns := &callerConns{}
		conns.observe(conn, http.StateIdle)
		Expect(conns.closeIdle(time.Now())).To(BeTrue())
		_, err = conn.Read(make([]byte, 1))
		Expect(err).To(MatchError(os.ErrDeadlineExceeded))
		conns.observe(conn, http.StateActive)
		_, err = io.WriteString(caller, "x")
		Expect(err).NotTo(HaveOccurred())
		_, err = conn.Read(make([]byte, 1))
		Expect(err).NotTo(HaveOccurred())
	})
})

package gateway

import (
	"bufio"
	"bytes"
	"cmp"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/auburnbend/auburnbend/internal/loopback"
	"github.com/auburnbend/auburnbend/lib/clock"
	"github.com/auburnbend/auburnbend/lib/directory"
	"github.com/auburnbend/auburnbend/lib/eventlog"
	"github.com/auburnbend/auburnbend/lib/placement"
	"github.com/auburnbend/auburnbend/lib/retry"
	"github.com/auburnbend/auburnbend/lib/serving"
)

const (
	// earlyReadBytes is the receive buffer of the servers of an earlyBed, and what they read of a
	// body before they answer.
	earlyReadBytes = 64 << 10
	// beyondBuffers is the size of a body that the operating system does not take while its server
	// does not read. earlyHeldBodies is Config.MaxBodyBytes, which has room for many.
	beyondBuffers   = 12 << 20
	earlyHeldBodies = 256 << 20
	// unansweredAfter is the time limit of the requests to an earlyBed.
	unansweredAfter = 20 * time.Second
)

// earlyServer serves one connection of the gateway. body is what is left of the body of the
// request, of which as much as fits into the receive buffer has been read.
type earlyServer func(conn *net.TCPConn, body io.Reader)

// earlyBed is a gateway with servers that answer before they have read a long body.
type earlyBed struct {
	gateway *Gateway
	front   *httptest.Server
}

// earlyOptions configures an earlyBed. Zero values are replaced by defaults.
type earlyOptions struct {
	kind      serving.RequestKind
	resumable bool
	// timeout is the time limit of requests, unansweredAfter by default.
	timeout time.Duration
	// target is the latency target of requests, 2 s by default.
	target time.Duration
	// readBuffer is the receive buffer of servers, earlyReadBytes by default.
	readBuffer int
	// maxLingering is Config.MaxLingering.
	maxLingering int
}

// newEarlyBed starts a gateway with a route of a kind, whose servers are tried in their order.
func newEarlyBed(kind serving.RequestKind, resumable bool, servers ...earlyServer) *earlyBed {
	return newEarlyBedWith(earlyOptions{kind: kind, resumable: resumable}, servers...)
}

func newEarlyBedWith(options earlyOptions, servers ...earlyServer) *earlyBed {
	b := &earlyBed{gateway: New(Config{
		Dialect: signedDialect{}, Clock: clock.System{}, Log: eventlog.Discard(), Placement: placement.Config{Domain: "north"}, Entries: 1,
		Retry: retry.Config{Ratio: 1, Window: 10 * time.Second, Slack: 100}, MaxBodyBytes: earlyHeldBodies, MaxLingering: options.maxLingering,
	})}
	b.gateway.SetConfig(&serving.Config{
		Version: 1, Limits: serving.Limits{MaxBodyBytes: beyondBuffers}, Services: []serving.Service{{Name: "s"}},
		Routes: []serving.Route{{
			Name: "r", Host: "example.com", Prefix: "/", Kind: options.kind, Resumable: options.resumable,
			Timeout: cmp.Or(options.timeout, unansweredAfter), TargetLatency: cmp.Or(options.target, 2*time.Second),
			Targets: []serving.Target{{Service: "s", Weight: 1}},
		}},
	})
	list := make([]*directory.Server, 0, len(servers))
	for i, serve := range servers {
		// The first server is preferred, as only it is in the domain of the gateway.
		domain := "north"
		if i > 0 {
			domain = "south"
		}
		list = append(list, &directory.Server{ID: string(rune('a' + i)), Service: "s", Address: listenEarly(cmp.Or(options.readBuffer, earlyReadBytes), serve), Domain: domain, Slots: 100})
	}
	b.gateway.ReplaceServers(list, false)
	b.front = httptest.NewServer(b.gateway)
	DeferCleanup(b.front.Close)
	return b
}

// listenEarly returns the address of a server with a receive buffer of a number of bytes.
func listenEarly(readBuffer int, serve earlyServer) string {
	config := net.ListenConfig{Control: func(_, _ string, c syscall.RawConn) error {
		var failed error
		err := c.Control(func(fd uintptr) {
			failed = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, readBuffer)
		})
		return errors.Join(err, failed)
	}}
	ln, err := config.Listen(context.Background(), "tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(ln.Close)
	go loopback.Serve(ln, func(conn *net.TCPConn) {
		r, err := http.ReadRequest(bufio.NewReader(conn))
		if err != nil {
			return
		}
		if _, err := io.CopyN(io.Discard, r.Body, min(r.ContentLength, int64(readBuffer))); err == nil {
			serve(conn, r.Body)
		}
	})
	return ln.Addr().String()
}

// reset ends a connection at once.
func reset(conn *net.TCPConn) {
	_ = conn.SetLinger(0)
	_ = conn.Close()
}

// post sends a body and returns the answer; the status is 0 if there is none. err is the error
// that ends the body of the answer too early.
func (b *earlyBed) post(size int) (status int, answer string, err error) {
	r, err := http.NewRequest(http.MethodPost, b.front.URL+"/x", bytes.NewReader(make([]byte, size)))
	if err != nil {
		return 0, "", err
	}
	r.Host = "example.com"
	resp, err := b.front.Client().Do(r)
	if err != nil {
		return 0, "", err
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	return resp.StatusCode, string(text), err
}

package caller

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/auburnbend/auburnbend/lib/clock"
	"github.com/auburnbend/auburnbend/lib/config"
	"github.com/auburnbend/auburnbend/lib/eventlog"
	"github.com/auburnbend/auburnbend/lib/outcome"
)

const (
	heldBodies = 32 << 20
	// heldPerCall covers what each request takes besides the budget, with both ends in this
	// process: goroutines, buffers, heads and the first part of a body.
	heldPerCall = 128 << 10
)

// longBody is a body of the largest size.
var longBody = bytes.Repeat([]byte("x"), maxBodyBytes)

// onlyReader hides the length of a body, so that it is sent in chunks.
type onlyReader struct{ io.Reader }

// liveBytes returns the memory in use after a collection.
func liveBytes() int64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}

// bodyBed is a server that accepts bodies of up to maxBodyBytes and holds heldBodies together.
type bodyBed struct {
	server  *Server
	address string
	// open counts the requests in the handler, runs those that have come to it. It holds them
	// until release is closed or the caller disconnects.
	open, runs atomic.Int64
	release    chan struct{}
	// changed is set if a body in the handler was not that of the caller.
	changed atomic.Bool
}

// Handle implements Handler.
func (b *bodyBed) Handle(ctx context.Context, r *Request, w ResponseWriter) {
	b.open.Add(1)
	defer b.open.Add(-1)
	b.runs.Add(1)
	select {
	case <-b.release:
	case <-ctx.Done():
	}
	if len(bytes.Trim(r.Body, "x")) > 0 {
		b.changed.Store(true)
	}
	w.End(Result{Outcome: outcome.Completed, ContentType: fmt.Sprintf("text/length-%d", len(r.Body))})
}

func newBodyBed() *bodyBed { return newBodyBedWith(func(*Config) {}) }

func newBodyBedWith(change func(*Config)) *bodyBed {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	cfg := &config.Config{
		Services: []config.Service{{Name: "draft", Timeout: time.Minute, MaxBodyBytes: maxBodyBytes}, {Name: "other"}, {Name: "small", MaxBodyBytes: 1000}},
		Tenants:  []config.Tenant{{Name: "a"}, {Name: "b"}},
		Classes:  []config.Class{{Name: "usual", FirstToken: 2 * time.Second}},
	}
	b := &bodyBed{address: listener.Addr().String(), release: make(chan struct{})}
	serverConfig := Config{
		Listener: listener, Clock: clock.System{}, Current: func() *config.Config { return cfg },
		Handler: b, Invalid: &fakeInvalid{reasons: make(chan outcome.Reason, 1000)}, Log: eventlog.Discard(), MaxBodyBytes: heldBodies,
	}
	change(&serverConfig)
	b.server = NewServer(serverConfig)
	go func() { _ = b.server.Run() }()
	Eventually(func() error {
		conn, err := net.Dial("tcp", b.address)
		if err == nil {
			_ = conn.Close()
		}
		return err
	}).Should(Succeed())
	DeferCleanup(func() {
		select {
		case <-b.release:
		default:
			close(b.release)
		}
		Expect(b.server.Drain(context.Background())).To(Succeed())
	})
	return b
}

// answer is the answer to a request; its status is 0 if there is none.
type answer struct {
	status          int
	outcome, reason string
	retryAfter      string
	length          string
}

// post sends a body of a tenant on a connection of its own.
func (b *bodyBed) post(tenant string, body io.Reader, header ...string) answer {
	r, err := http.NewRequest(http.MethodPost, "http://"+b.address+"/v1/services/draft", body)
	if err != nil {
		return answer{}
	}
	r.Header.Set(HeaderTenant, tenant)
	for i := 0; i < len(header); i += 2 {
		r.Header.Set(header[i], header[i+1])
	}
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Do(r)
	if err != nil {
		return answer{}
	}
	return readAnswer(resp)
}

// readAnswer returns an answer whose end has been received.
func readAnswer(resp *http.Response) answer {
	defer resp.Body.Close()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return answer{}
	}
	h := resp.Header
	return answer{resp.StatusCode, h.Get(HeaderOutcome), h.Get(HeaderReason), h.Get(headerRetryAfter), strings.TrimPrefix(h.Get("Content-Type"), "text/length-")}
}

// dial opens a connection and sends a text on it.
func (b *bodyBed) dial(text string) net.Conn {
	conn, err := net.Dial("tcp", b.address)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(func() { _ = conn.Close() })
	_, err = io.WriteString(conn, text)
	Expect(err).NotTo(HaveOccurred())
	return conn
}

// head returns the head of a request of a tenant with one more line.
func head(tenant, line string) string {
	return "POST /v1/services/draft HTTP/1.1\r\nHost: a\r\n" + HeaderTenant + ": " + tenant + "\r\n" + line + "\r\n\r\n"
}

// begin opens connections that each announce a body of the largest size and send its
// beginning.
func (b *bodyBed) begin(count int, tenant, begin string) []net.Conn {
	var conns []net.Conn
	for range count {
		conns = append(conns, b.dial(head(tenant, fmt.Sprintf("Content-Length: %d", maxBodyBytes))+begin))
	}
	return conns
}

// receive reads an answer from a connection, within a time.
func receive(conn net.Conn, within time.Duration) answer {
	Expect(conn.SetReadDeadline(time.Now().Add(within))).To(Succeed())
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return answer{}
	}
	return readAnswer(resp)
}

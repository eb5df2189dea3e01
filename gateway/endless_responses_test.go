package gateway

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/auburnbend/auburnbend/internal/loopback"
	"github.com/auburnbend/auburnbend/lib/clock"
	"github.com/auburnbend/auburnbend/lib/directory"
	"github.com/auburnbend/auburnbend/lib/eventlog"
	"github.com/auburnbend/auburnbend/lib/placement"
	"github.com/auburnbend/auburnbend/lib/serving"
)

// faultyBed is a gateway with a faulty and a sound backend server, of a service each.
type faultyBed struct {
	gateway *Gateway
	// sent counts the responses of the faulty server that have been sent up to where it stops.
	sent atomic.Int64
}

const (
	faultyCallers = 120
	// faultyBuffered is what the gateway may take for responses, about an eighth of the memory
	// of an entry with 284 MB.
	faultyBuffered = 36 << 20
	// faultyPerCall covers what each request takes besides: goroutines, buffers, head and the
	// first part of a response.
	faultyPerCall = 128 << 10
)

// newFaultyBed starts the servers. The faulty one sends text and neither ends the response
// nor closes the connection; the sound one responds with soundBody.
func newFaultyBed(text, soundBody string) *faultyBed {
	b := &faultyBed{gateway: New(Config{
		Dialect: signedDialect{}, Clock: clock.System{}, Log: eventlog.Discard(), Placement: placement.Config{Domain: "north"},
		Entries: 1, MaxBufferedBytes: faultyBuffered,
	})}
	listen := func(serve func(net.Conn)) string {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(ln.Close)
		go loopback.Serve(ln, func(conn *net.TCPConn) {
			serve(conn)
			_, _ = io.Copy(io.Discard, conn)
		})
		return ln.Addr().String()
	}
	// All connections share the bytes, as the test counts those of the process.
	shared := []byte(text)
	faulty := listen(func(conn net.Conn) {
		_, _ = conn.Write(shared)
		b.sent.Add(1)
	})
	sound := listen(func(conn net.Conn) {
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(soundBody), soundBody)
	})
	route := func(name string, kind serving.RequestKind) serving.Route {
		return serving.Route{Name: name, Host: "example.com", Prefix: "/" + name + "/", Kind: kind, Timeout: time.Minute, Targets: []serving.Target{{Service: name, Weight: 1}}}
	}
	b.gateway.SetConfig(&serving.Config{
		Version: 1, Routes: []serving.Route{route("stream", serving.Streaming), route("plain", serving.NonIdempotent), route("sound", serving.NonIdempotent)},
		Services: []serving.Service{{Name: "stream"}, {Name: "plain"}, {Name: "sound"}},
	})
	b.gateway.ReplaceServers([]*directory.Server{
		{ID: "f1", Service: "stream", Address: faulty, Domain: "north", Slots: 2 * faultyCallers},
		{ID: "f2", Service: "plain", Address: faulty, Domain: "north", Slots: 2 * faultyCallers},
		{ID: "s1", Service: "sound", Address: sound, Domain: "north", Slots: 2 * faultyCallers},
	}, false)
	return b
}

// call sends faultyCallers requests at once and returns when none makes progress any more.
func (b *faultyBed) call(route string) {
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	for range faultyCallers {
		running.Go(func() {
			defer func() { _ = recover() }()
			b.gateway.ServeHTTP(httptest.NewRecorder(), httptest.NewRequestWithContext(ctx, http.MethodPost, "/"+route+"/x", nil))
		})
	}
	DeferCleanup(func() {
		cancel()
		running.Wait()
	})
	last := int64(-1)
	Eventually(func() bool {
		before := last
		last = b.sent.Load()
		return last == before
	}, 20*time.Second, 500*time.Millisecond).Should(BeTrue())
}

// liveBytes returns the memory that is in use after a garbage collection.
func liveBytes() int64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}

var _ = Describe("Responses without an end to many callers at once", func() {
	const eventsHead = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
	chunk := func(text string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(text), text) }
	// The limits of one response are 1 MiB for an event, 4 MiB for a body, 64 KiB for a head.
	const almostEvent, almostBody, almostHead = 1<<20 - 1<<10, 4<<20 - 1<<10, 64<<10 - 1<<10

	DescribeTable("take no more memory than the budget",
		// Guards against limits that hold for one response and not for all of them together.
		func(route, text string) {
			bed := newFaultyBed(text, "")
			before := liveBytes()
			bed.call(route)
			Expect(liveBytes()-before).To(BeNumerically("<=", faultyBuffered+faultyCallers*faultyPerCall), "bytes held")
			runtime.KeepAlive(bed)
		},
		Entry("one event", "stream", eventsHead+chunk("id: 0\ndata: "+strings.Repeat("x", almostEvent))),
		Entry("one event after another", "stream", eventsHead+chunk("id: 0\ndata: a\n\nid: 1\ndata: "+strings.Repeat("x", almostEvent))),
		Entry("comments", "stream", eventsHead+chunk(strings.Repeat(": x\n\n", almostHead/5))),
		Entry("a body with a length", "plain", fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", 4<<20)+strings.Repeat("x", almostBody)),
		Entry("a body in chunks", "plain", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"+chunk(strings.Repeat("x", almostBody))),
		Entry("a body without framing", "plain", "HTTP/1.1 200 OK\r\n\r\n"+strings.Repeat("x", almostBody)),
		Entry("a line of a head", "plain", "HTTP/1.1 200 OK\r\nX-Note: "+strings.Repeat("x", almostHead)),
		Entry("lines of a head", "plain", "HTTP/1.1 200 OK\r\n"+shortHeaderLines(almostHead)),
	)

	It("leave the responses of other servers alone", func() {
		// Guards against a faulty server that takes the room of all responses, so that requests
		// which other servers have run get no answer.
		soundBody := strings.Repeat("s", 1<<20)
		bed := newFaultyBed("HTTP/1.1 200 OK\r\n\r\n"+strings.Repeat("x", almostBody), soundBody)
		bed.call("plain")
		for range 5 {
			recorder := httptest.NewRecorder()
			bed.gateway.ServeHTTP(recorder, httptest.NewRequest(http.MethodPost, "/sound/x", nil))
			Expect(recorder.Code).To(Equal(http.StatusOK))
			Expect(recorder.Body.Len()).To(Equal(len(soundBody)))
		}
	})
})

// shortHeaderLines returns lines with different names and no values.
func shortHeaderLines(bytes int) string {
	var b strings.Builder
	for i := 0; b.Len() < bytes; i++ {
		fmt.Fprintf(&b, "%x:\r\n", i)
	}
	return b.String()
}

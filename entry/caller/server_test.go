package caller

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/auburnbend/auburnbend/lib/clock"
	"github.com/auburnbend/auburnbend/lib/config"
	"github.com/auburnbend/auburnbend/lib/eventlog"
	"github.com/auburnbend/auburnbend/lib/model"
	"github.com/auburnbend/auburnbend/lib/outcome"
)

// script is the response of a fakeHandler.
type script struct {
	// discarded are parts of attempts that are given up.
	discarded []string
	parts     []string
	result    Result
}

// fakeHandler sends a scripted response. The script is atomic because the
// server calls handlers on its own goroutines.
type fakeHandler struct{ script atomic.Pointer[script] }

func (f *fakeHandler) Handle(_ context.Context, _ *Request, w ResponseWriter) {
	s := f.script.Load()
	for _, p := range s.discarded {
		if w.Write([]byte(p)) != nil || !w.Buffered() {
			return
		}
		w.Reset()
	}
	for _, p := range s.parts {
		if w.Write([]byte(p)) != nil {
			return
		}
	}
	w.End(s.result)
}

type fakeInvalid struct{ reasons chan outcome.Reason }

func (f *fakeInvalid) CountInvalid(r outcome.Reason) { f.reasons <- r }

var _ = Describe("Server", func() {
	var (
		handler *fakeHandler
		invalid *fakeInvalid
		server  *Server
		client  *http.Client
		base    string
	)

	BeforeEach(func() {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		handler = &fakeHandler{}
		// Idle connections would delay the shutdown in each spec.
		client = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
		invalid = &fakeInvalid{reasons: make(chan outcome.Reason, 4)}
		cfg := &config.Config{
			Services: []config.Service{{Name: "draft"}, {Name: "order", Kind: config.KindPlain}},
			Tenants:  []config.Tenant{{Name: "huye"}},
		}
		server = NewServer(Config{
			Listener: listener, Clock: clock.System{}, Current: func() *config.Config { return cfg },
			Handler: handler, Invalid: invalid, Log: eventlog.Discard(),
		})
		go func() { _ = server.Run() }()
		base = "http://" + listener.Addr().String()
		Eventually(func() error {
			response, err := client.Get(base + "/ready")
			if err == nil {
				_ = response.Body.Close()
			}
			return err
		}).Should(Succeed())
		DeferCleanup(func() {
			Expect(server.Drain(context.Background())).To(Succeed())
		})
	})

	send := func(service, accept string) (*http.Response, string) {
		request, err := http.NewRequest(http.MethodPost, base+"/v1/services/"+service, strings.NewReader("hello"))
		Expect(err).NotTo(HaveOccurred())
		request.Header.Set(HeaderTenant, "huye")
		request.Header.Set("Accept", accept)
		response, err := client.Do(request)
		Expect(err).NotTo(HaveOccurred())
		defer func() { _ = response.Body.Close() }()
		body, err := io.ReadAll(response.Body)
		Expect(err).NotTo(HaveOccurred())
		return response, string(body)
	}

	It("streams the response and sends the outcome in the final event", func() {
		handler.script.Store(&script{
			parts:  []string{"a", "b"},
			result: Result{Outcome: outcome.Completed, Frames: 2, Digest: model.Sum([]byte("ab"))},
		})
		_, body := send("draft", "text/event-stream")
		var events []string
		for scan := bufio.NewScanner(strings.NewReader(body)); scan.Scan(); {
			if event, ok := strings.CutPrefix(scan.Text(), "event: "); ok {
				events = append(events, event)
			}
		}
		Expect(events).To(Equal([]string{EventChunk, EventChunk, EventEnd}))
		Expect(body).To(ContainSubstring(`"outcome":"completed"`))
	})

	// Guards against corrupting responses whose parts end inside a character or
	// are not text.
	It("forwards every byte however the response is split", func() {
		handler.script.Store(&script{
			parts:  []string{"caf\xc3", "\xa9", "\xff\xfe"},
			result: Result{Outcome: outcome.Completed},
		})
		_, body := send("draft", "text/event-stream")
		Expect(body).To(ContainSubstring("data: \"caf\""))
		Expect(body).To(ContainSubstring("data: \"é\""))
		Expect(body).To(ContainSubstring("event: binary\ndata: \"//4=\""))
	})

	// Guards against a truncated response that looks like a success.
	It("does not send a buffered response that is incomplete", func() {
		handler.script.Store(&script{
			parts:  []string{"partial"},
			result: Result{Outcome: outcome.Unknown, Reason: outcome.ReasonConnectionLost},
		})
		response, body := send("draft", "*/*")
		Expect(response.StatusCode).To(Equal(http.StatusGatewayTimeout))
		Expect(response.Header.Get(HeaderOutcome)).To(Equal("unknown"))
		Expect(body).NotTo(ContainSubstring("partial"))
	})

	It("sends a failure of a plain service with its status, not as a part of a stream", func() {
		// Guards against the text of an error in the stream of a caller that has already
		// got status 200 for it.
		handler.script.Store(&script{
			parts:  []string{"upstream failed"},
			result: Result{Outcome: outcome.Failed, Reason: outcome.ReasonBackendError, Status: 502, Frames: 1},
		})
		response, body := send("order", "text/event-stream")
		Expect(response.StatusCode).To(Equal(502))
		Expect(response.Header.Get(HeaderOutcome)).To(Equal("failed"))
		Expect(body).To(Equal("upstream failed"))
	})

	It("streams the response of a plain service without the parts of earlier attempts", func() {
		// Guards against a plain service whose broken response cannot be replaced.
		handler.script.Store(&script{
			discarded: []string{"half of an"}, parts: []string{"whole answer"},
			result: Result{Outcome: outcome.Completed, Status: 200, Frames: 1},
		})
		_, body := send("order", "text/event-stream")
		Expect(body).To(ContainSubstring("event: chunk\ndata: \"whole answer\""))
		Expect(body).To(ContainSubstring("event: end"))
		Expect(body).NotTo(ContainSubstring("half"))
	})

	It("streams nothing of a plain service that never completes", func() {
		handler.script.Store(&script{
			parts:  []string{"partial"},
			result: Result{Outcome: outcome.Unknown, Reason: outcome.ReasonConnectionLost},
		})
		response, body := send("order", "text/event-stream")
		Expect(response.StatusCode).To(Equal(http.StatusGatewayTimeout))
		Expect(body).NotTo(ContainSubstring("partial"))
	})

	It("ends a stream that breaks off with its outcome and without a digest", func() {
		// Guards against a part of a stream that passes for the whole: callers look at the
		// final event.
		handler.script.Store(&script{
			parts:  []string{"partial"},
			result: Result{Outcome: outcome.Unknown, Reason: outcome.ReasonIncomplete, Frames: 1},
		})
		_, body := send("draft", "text/event-stream")
		Expect(body).To(ContainSubstring(`"outcome":"unknown","reason":"incomplete_answer"`))
		Expect(body).NotTo(ContainSubstring("digest"))
	})

	It("sends no chunks to a caller with HTTP/1.0", func() {
		// Guards against chunk sizes between the events of a stream, and against a part of a
		// response that passes for the whole: such a caller knows no chunks, and takes the end
		// of the connection for that of a response without a length.
		whole := Result{Outcome: outcome.Completed, Frames: 2, Digest: model.Sum([]byte("ab"))}
		broken := Result{Outcome: outcome.Unknown, Reason: outcome.ReasonIncomplete, Frames: 2}
		for _, c := range []struct {
			service string
			result  Result
			start   string
			end     string
		}{
			{"draft", whole, "HTTP/1.1 200 ", "\r\n\r\nab"},
			{"order", whole, "HTTP/1.1 200 ", "\r\n\r\nab"},
			{"draft", broken, "HTTP/1.1 504 ", "}"},
		} {
			handler.script.Store(&script{parts: []string{"a", "b"}, result: c.result})
			conn, err := net.Dial("tcp", strings.TrimPrefix(base, "http://"))
			Expect(err).NotTo(HaveOccurred())
			defer conn.Close()
			_, err = io.WriteString(conn, "POST /v1/services/"+c.service+" HTTP/1.0\r\nHost: a.example\r\n"+HeaderTenant+
				": huye\r\nAccept: text/event-stream\r\nContent-Length: 5\r\n\r\nhello")
			Expect(err).NotTo(HaveOccurred())
			response, err := io.ReadAll(conn)
			Expect(err).NotTo(HaveOccurred())
			Expect(string(response)).To(And(HavePrefix(c.start), HaveSuffix(c.end), ContainSubstring("Content-Length: ")))
			Expect(string(response)).NotTo(ContainSubstring("chunked"))
		}
	})

	It("sets status, outcome and Retry-After for a request that was not run", func() {
		handler.script.Store(&script{
			result: Result{Outcome: outcome.NotRun, Reason: outcome.ReasonOverloaded, RetryAfter: 1500 * time.Millisecond},
		})
		for _, accept := range []string{"*/*", "text/event-stream"} {
			response, _ := send("draft", accept)
			Expect(response.StatusCode).To(Equal(http.StatusTooManyRequests))
			Expect(response.Header.Get(HeaderOutcome)).To(Equal("not_run"))
			Expect(response.Header.Get("Retry-After")).To(Equal("2"))
		}
	})

	It("counts invalid requests", func() {
		response, _ := send("nothing", "*/*")
		Expect(response.StatusCode).To(Equal(http.StatusNotFound))
		Expect(invalid.reasons).To(Receive(Equal(outcome.ReasonUnknownService)))
		Expect(response.Header.Get(HeaderRequestID)).NotTo(BeEmpty())
	})
})

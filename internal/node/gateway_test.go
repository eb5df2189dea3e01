package node

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/auburnbend/auburnbend/lib/clock"
	"github.com/auburnbend/auburnbend/lib/eventlog"
	"github.com/auburnbend/auburnbend/platform"
	"github.com/auburnbend/auburnbend/platform/platformtest"
)

// lines collects log lines. It is safe for concurrent use.
type lines struct {
	mu   sync.Mutex
	text strings.Builder
}

func (l *lines) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.Write(p)
}

func (l *lines) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.String()
}

// entry is a gateway daemon with stand-ins of the platform.
type entry struct {
	store    *platformtest.Store
	settings *platform.Settings
	logs     *lines
	stop     context.CancelFunc
	ended    chan error
	// metrics is the port that serves them.
	metrics int
}

// scrape returns the metrics as text.
func (e *entry) scrape() string {
	resp, err := http.Get(fmt.Sprintf("http://127.0.0.1:%d/metrics", e.metrics))
	if err != nil {
		return ""
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	Expect(err).NotTo(HaveOccurred())
	return string(text)
}

func freeAddress() string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	defer ln.Close()
	return ln.Addr().String()
}

func startEntry() *entry {
	e := &entry{store: platformtest.NewStore(), logs: &lines{}, ended: make(chan error, 1)}
	port := freeAddress()
	text := fmt.Sprintf(`{node_name: edge-1, ip: 127.0.0.1, zone: north, region: n, zones: {north: n},
listen: {frontend: "%s", ready: "%s"}, port_range: [%s, 65535], platform: {address: "%s"},
bounds: {grace_s: 8, retry_ratio: 0.2, retry_window_s: 10, retry_slack: 100}}`,
		freeAddress(), freeAddress(), port[strings.LastIndexByte(port, ':')+1:], e.store.Address())
	path := filepath.Join(GinkgoT().TempDir(), "node.yaml")
	Expect(os.WriteFile(path, []byte(text), 0o600)).To(Succeed())
	var err error
	e.settings, err = platform.LoadSettings(path)
	Expect(err).NotTo(HaveOccurred())
	ctx, stop := context.WithCancel(context.Background())
	e.stop = stop
	metricsAddress := freeAddress()
	e.metrics, err = strconv.Atoi(metricsAddress[strings.LastIndexByte(metricsAddress, ':')+1:])
	Expect(err).NotTo(HaveOccurred())
	go func() {
		e.ended <- RunGateway(ctx, Environment{Settings: e.settings, MetricsPort: e.metrics, Log: eventlog.OpenPlain(e.logs, clock.System{})})
	}()
	DeferCleanup(func() {
		stop()
		e.store.Close()
		if CurrentSpecReport().Failed() {
			GinkgoWriter.Println(e.logs.String())
		}
	})
	return e
}

type body = map[string]any

func (e *entry) configure(version int, routes ...body) {
	e.store.Put(platform.TableOperator, "config", body{
		"version": version, "routes": routes, "services": []body{{"name": "desk"}},
		"tenants": []body{{"name": "carvers", "api_keys": []string{"key"}}},
	})
}

func route(prefix string) body {
	return body{
		"name": "r" + prefix, "hostname": "a.example", "prefix": prefix, "route_type": "non_idempotent",
		"timeout_ms": 3000, "target_latency_ms": 500, "service": "desk", "max_attempts": 1,
	}
}

func (e *entry) register(s *platformtest.Server, state string) {
	e.store.Put(platform.TableServers, s.ID, body{"service": "desk", "address": s.Address(), "zone": "north", "capacity": 6, "state": state})
}

func (e *entry) ready() int {
	resp, err := http.Get("http://" + e.settings.ReadyAddress + "/api/readyz")
	if err != nil {
		return 0
	}
	resp.Body.Close()
	return resp.StatusCode
}

// request returns an order of the team.
func (e *entry) request(path string) *http.Request {
	req, err := http.NewRequest("POST", "http://"+e.settings.CallerAddress+path, strings.NewReader("order"))
	Expect(err).NotTo(HaveOccurred())
	req.Host = "a.example"
	req.Header.Set("X-Attempt-Id", "id-7")
	req.Header.Set("Authorization", "Token key")
	return req
}

// ask sends an order whose end is looked for in the logs.
func (e *entry) ask(path string) {
	if resp, err := http.DefaultClient.Do(e.request(path)); err == nil {
		_, _ = io.Copy(io.Discard, resp.Body)
		resp.Body.Close()
	}
}

func (e *entry) order(path string) int {
	resp, err := http.DefaultClient.Do(e.request(path))
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	Expect(err).NotTo(HaveOccurred())
	return resp.StatusCode
}

var _ = Describe("RunGateway", func() {
	const soon = 5 * time.Second
	desk := func() *platformtest.Server {
		s := platformtest.NewServer("desk-1", platformtest.RespondWith(200, "done"))
		DeferCleanup(s.Close)
		return s
	}

	It("is ready once it has a configuration, and follows its changes", func() {
		// Guards against callers that are refused by an entry that knows nothing yet.
		e := startEntry()
		Eventually(e.ready, soon).Should(Equal(503))
		e.register(desk(), "ready")
		e.configure(1, route("/a/"))
		Eventually(e.ready, soon).Should(Equal(200))
		Eventually(func() int { return e.order("/a/") }, soon).Should(Equal(200))
		Expect(e.order("/b/")).To(Equal(404))
		e.configure(3, route("/b/"))
		Eventually(func() int { return e.order("/b/") }, soon).Should(Equal(200))
		Expect(e.order("/a/")).To(Equal(404))
	})

	It("ignores an older configuration", func() {
		// Guards against an accepted configuration that reverts.
		e := startEntry()
		e.register(desk(), "ready")
		e.configure(5, route("/a/"))
		Eventually(func() int { return e.order("/a/") }, soon).Should(Equal(200))
		e.configure(4, route("/b/"))
		Consistently(func() int { return e.order("/a/") }, 300*time.Millisecond).Should(Equal(200))
	})

	It("serves what it knows while the store is away, and learns what it missed", func() {
		// Guards against a domain that stops to serve when it is cut off.
		e := startEntry()
		s := desk()
		e.register(s, "ready")
		e.configure(1, route("/a/"))
		Eventually(func() int { return e.order("/a/") }, soon).Should(Equal(200))
		e.store.FailWith(503)
		Eventually(e.logs.String, soon).Should(ContainSubstring("event=7004"))
		Expect(e.order("/a/")).To(Equal(200))
		Expect(e.ready()).To(Equal(200))
		e.configure(2, route("/b/"))
		e.store.DropHistory()
		e.store.FailWith(0)
		Eventually(func() int { return e.order("/b/") }, soon).Should(Equal(200))
		Expect(e.logs.String()).To(ContainSubstring("event=7005"))
	})

	It("sends nothing to a backend server that leaves", func() {
		e := startEntry()
		s := desk()
		e.register(s, "ready")
		e.configure(1, route("/a/"))
		Eventually(func() int { return e.order("/a/") }, soon).Should(Equal(200))
		e.register(s, "draining")
		Eventually(func() int { return e.order("/a/") }, soon).Should(Equal(503))
	})

	It("finishes what runs when it is stopped, and stops being ready at once", func() {
		// Guards against answers that are cut by planned work.
		e := startEntry()
		release := make(chan struct{})
		s := platformtest.NewServer("desk-1", func(s *platformtest.Server, conn net.Conn, r *platformtest.Request) {
			<-release
			platformtest.RespondWith(200, "done")(s, conn, r)
		})
		DeferCleanup(s.Close)
		e.register(s, "ready")
		e.configure(1, route("/a/"))
		Eventually(e.ready, soon).Should(Equal(200))
		answered := make(chan int, 1)
		go func() {
			defer GinkgoRecover()
			answered <- e.order("/a/")
		}()
		Eventually(s.Requests, soon).Should(HaveLen(1))
		e.stop()
		Eventually(e.ready, soon).Should(Equal(503))
		close(release)
		Eventually(answered, soon).Should(Receive(Equal(200)))
		Eventually(e.ended, 10*time.Second).Should(Receive(BeNil()))
	})

	DescribeTable("logs lines that lead from a failed request's id to its cause",
		// Guards against an on-call engineer who has an id and finds no cause: the
		// server, what ended the attempt, and why nothing else could be done.
		func(kind string, answer func(*platformtest.Server, net.Conn, *platformtest.Request), expected ...string) {
			e := startEntry()
			s := platformtest.NewServer("desk-1", answer)
			DeferCleanup(s.Close)
			e.register(s, "ready")
			r := route("/a/")
			r["route_type"] = kind
			e.configure(1, r)
			Eventually(func() string {
				e.ask("/a/")
				return e.logs.String()
			}, soon).Should(ContainSubstring("server=desk-1"))
			for _, pattern := range expected {
				Expect(e.logs.String()).To(MatchRegexp(pattern))
			}
		},
		Entry("outcome unknown", "non_idempotent", platformtest.ResetConnection,
			`event=7201 .*request=id-7 outcome=unknown reason="no answer" status=502 .*server=desk-1 attempts=1 .*limit_ms=3000`),
		Entry("cut in mid-stream", "streaming", platformtest.RespondEvents(0, 3, false),
			`event=7201 .*request=id-7 outcome=broken reason="stream broken off" status=200 .*server=desk-1 attempts=1 .*events=4`),
		Entry("refused by the server", "non_idempotent", platformtest.RespondNotExecuted,
			`event=7202 .*request=id-7 server=desk-1 reason="rejected by the server"|outcome=refused reason="rejected by the server"`),
	)

	It("shows in its metrics what it believes", func() {
		// Guards against an on-call engineer who cannot tell from the metrics why
		// requests are refused.
		e := startEntry()
		s := desk()
		e.register(s, "ready")
		e.configure(3, route("/a/"))
		Eventually(func() int { return e.order("/a/") }, soon).Should(Equal(200))
		Expect(e.scrape()).To(And(
			ContainSubstring("auburnbend_config_version 3"),
			ContainSubstring("auburnbend_store_reachable 1"),
			MatchRegexp(`auburnbend_backend_servers\{condition="open",service="desk"\} 1`),
			MatchRegexp(`auburnbend_repeats_left\{service="desk"\} [0-9.]+`),
			MatchRegexp(`auburnbend_config_age_seconds [0-9.]+`),
		))
		e.register(s, "draining")
		Eventually(e.scrape, soon).Should(MatchRegexp(`auburnbend_backend_servers\{condition="draining",service="desk"\} 1`))
		e.store.FailWith(503)
		Eventually(e.scrape, soon).Should(ContainSubstring("auburnbend_store_reachable 0"))
	})

	It("logs how a request ended, with its id and the inputs of the decision", func() {
		e := startEntry()
		e.configure(1, route("/a/"))
		Eventually(e.ready, soon).Should(Equal(200))
		Expect(e.order("/a/")).To(Equal(503))
		Eventually(e.logs.String, soon).Should(MatchRegexp(`event=7201 .*request=id-7 outcome=refused reason=no_server status=503 .*config=1`))
	})
})

var _ = Describe("Command", func() {
	It("checks a settings file and names what is wrong with it", func() {
		path := filepath.Join(GinkgoT().TempDir(), "node.yaml")
		Expect(os.WriteFile(path, []byte("node_name: x\nip: none\nzone: z\n"), 0o600)).To(Succeed())
		cmd := NewCommand(Program{Name: "test"}, io.Discard)
		cmd.SetArgs([]string{"--settings", path, "--check"})
		Expect(cmd.Execute()).To(MatchError(ContainSubstring(`ip: "none" is not an IP address`)))
	})
})

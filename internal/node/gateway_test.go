package node

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/auburnbend/auburnbend/internal/loopback"
	"github.com/auburnbend/auburnbend/lib/clock"
	"github.com/auburnbend/auburnbend/lib/eventlog"
	"github.com/auburnbend/auburnbend/platform"
	"github.com/auburnbend/auburnbend/platform/platformtest"
)

// logBuffer is an io.Writer that collects log lines. It is safe for concurrent use.
type logBuffer struct {
	mu   sync.Mutex
	text strings.Builder
}

func (l *logBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.Write(p)
}

func (l *logBuffer) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.String()
}

// testMetricsPort is the port at which gateways of specs serve their metrics.
const testMetricsPort = 9002

// entryUnderTest is a gateway daemon with simulated services of the platform.
type entryUnderTest struct {
	store    *platformtest.Store
	settings *platform.Settings
	logs     *logBuffer
	stop     context.CancelFunc
	done     chan error
}

// scrapeMetrics returns the metrics as text, or an empty string if they cannot be
// fetched.
func (e *entryUnderTest) scrapeMetrics() string {
	resp, err := http.Get(fmt.Sprintf("http://%s:%d/metrics", e.settings.Address, testMetricsPort))
	if err != nil {
		return ""
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	Expect(err).NotTo(HaveOccurred())
	return string(text)
}

func startEntry() *entryUnderTest { return startEntryWith(8*time.Second, nil) }

// startEntryWith starts an entry with the given stop time, and with
// Environment.WatchSettings.
func startEntryWith(stopTime time.Duration, watch func(context.Context, func(*platform.Settings))) *entryUnderTest {
	e := &entryUnderTest{store: platformtest.NewStore(), logs: &logBuffer{}, done: make(chan error, 1)}
	ip, err := loopback.NewIP()
	Expect(err).NotTo(HaveOccurred())
	text := fmt.Sprintf(`{node_name: edge-1, ip: %s, zone: north, region: n, zones: {north: n},
listen: {frontend: "%[1]s:9000", ready: "%[1]s:9001"}, port_range: [9100, 9199], platform: {address: "%[2]s"},
bounds: {grace_s: %[3]g, retry_ratio: 0.2, retry_window_s: 10, retry_slack: 100}}`,
		ip, e.store.Address(), stopTime.Seconds())
	path := filepath.Join(GinkgoT().TempDir(), "node.yaml")
	Expect(os.WriteFile(path, []byte(text), 0o600)).To(Succeed())
	e.settings, err = platform.LoadSettings(path)
	Expect(err).NotTo(HaveOccurred())
	ctx, stop := context.WithCancel(context.Background())
	e.stop = stop
	go func() {
		e.done <- RunGateway(ctx, Environment{
			Settings: e.settings, MetricsPort: testMetricsPort, Log: eventlog.OpenPlain(e.logs, clock.System{}), WatchSettings: watch,
		})
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

type jsonObject = map[string]any

func (e *entryUnderTest) putConfig(version int, routes ...jsonObject) {
	e.putTenants(version, []jsonObject{{"name": "carvers", "api_keys": []string{"key"}}}, routes...)
}

func (e *entryUnderTest) putTenants(version int, tenants []jsonObject, routes ...jsonObject) {
	e.store.Put(platform.TableOperator, "config", jsonObject{
		"version": version, "routes": routes, "services": []jsonObject{{"name": "desk"}}, "tenants": tenants,
	})
}

func newRoute(prefix string) jsonObject {
	return jsonObject{
		"name": "r" + prefix, "hostname": "a.example", "prefix": prefix, "route_type": "non_idempotent",
		"timeout_ms": 3000, "target_latency_ms": 500, "service": "desk", "max_attempts": 1,
	}
}

func (e *entryUnderTest) putServer(s *platformtest.Server, state string) {
	e.putServerAt(s.ID, s.Address(), state)
}

func (e *entryUnderTest) putServerAt(id, address, state string) {
	e.store.Put(platform.TableServers, id, jsonObject{
		"service": "desk", "address": address, "zone": "north", "version": "v1", "capacity": 6, "state": state, "cold_remaining_ms": 0, "sequence": 1,
	})
}

func (e *entryUnderTest) readyStatus() int {
	resp, err := http.Get("http://" + e.settings.ReadyAddress + "/api/readyz")
	if err != nil {
		return 0
	}
	resp.Body.Close()
	return resp.StatusCode
}

// newRequest returns a request with the API key of the team.
func (e *entryUnderTest) newRequest(path string) *http.Request {
	req, err := http.NewRequest("POST", "http://"+e.settings.CallerAddress+path, strings.NewReader("order"))
	Expect(err).NotTo(HaveOccurred())
	req.Host = "a.example"
	req.Header.Set("X-Attempt-Id", "id-7")
	req.Header.Set("Authorization", "Token key")
	return req
}

// sendAndIgnore sends a request and ignores its response.
func (e *entryUnderTest) sendAndIgnore(path string) {
	if resp, err := http.DefaultClient.Do(e.newRequest(path)); err == nil {
		_, _ = io.Copy(io.Discard, resp.Body)
		resp.Body.Close()
	}
}

func (e *entryUnderTest) sendOrder(path string) int {
	resp, err := http.DefaultClient.Do(e.newRequest(path))
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

	It("is ready once it has a configuration, and applies newer ones", func() {
		// Guards against requests that are refused because the entry is ready before it
		// has a configuration.
		e := startEntry()
		Eventually(e.readyStatus, soon).Should(Equal(503))
		e.putServer(desk(), "ready")
		e.putConfig(1, newRoute("/a/"))
		Eventually(e.readyStatus, soon).Should(Equal(200))
		Eventually(func() int { return e.sendOrder("/a/") }, soon).Should(Equal(200))
		Expect(e.sendOrder("/b/")).To(Equal(404))
		e.putConfig(3, newRoute("/b/"))
		Eventually(func() int { return e.sendOrder("/b/") }, soon).Should(Equal(200))
		Expect(e.sendOrder("/a/")).To(Equal(404))
	})

	It("ignores an older configuration", func() {
		// Guards against reverting to a configuration that has been replaced.
		e := startEntry()
		e.putServer(desk(), "ready")
		e.putConfig(5, newRoute("/a/"))
		Eventually(func() int { return e.sendOrder("/a/") }, soon).Should(Equal(200))
		e.putConfig(4, newRoute("/b/"))
		Consistently(func() int { return e.sendOrder("/a/") }, 300*time.Millisecond).Should(Equal(200))
	})

	It("keeps serving during an outage of the store and catches up afterwards", func() {
		// Guards against a failure domain that stops serving when it is disconnected
		// from the store.
		e := startEntry()
		s := desk()
		e.putServer(s, "ready")
		e.putConfig(1, newRoute("/a/"))
		Eventually(func() int { return e.sendOrder("/a/") }, soon).Should(Equal(200))
		e.store.FailWith(503)
		Eventually(e.logs.String, soon).Should(ContainSubstring("event=7004"))
		Expect(e.sendOrder("/a/")).To(Equal(200))
		Expect(e.readyStatus()).To(Equal(200))
		e.putConfig(2, newRoute("/b/"))
		e.store.DropHistory()
		e.store.FailWith(0)
		Eventually(func() int { return e.sendOrder("/b/") }, soon).Should(Equal(200))
		Expect(e.logs.String()).To(ContainSubstring("event=7005"))
	})

	It("sends nothing to a draining backend server", func() {
		e := startEntry()
		s := desk()
		e.putServer(s, "ready")
		e.putConfig(1, newRoute("/a/"))
		Eventually(func() int { return e.sendOrder("/a/") }, soon).Should(Equal(200))
		e.putServer(s, "draining")
		Eventually(func() int { return e.sendOrder("/a/") }, soon).Should(Equal(503))
	})

	It("is not ready as soon as it is stopped, and finishes the requests in progress", func() {
		// Guards against responses that are cut by a planned stop.
		e := startEntry()
		var hold atomic.Bool
		release := make(chan struct{})
		s := platformtest.NewServer("desk-1", func(s *platformtest.Server, conn net.Conn, r *platformtest.Request) {
			if hold.Load() {
				<-release
			}
			platformtest.RespondWith(200, "done")(s, conn, r)
		})
		DeferCleanup(s.Close)
		e.putServer(s, "ready")
		e.putConfig(1, newRoute("/a/"))
		Eventually(e.readyStatus, soon).Should(Equal(200))
		// The entry may be ready before it has read the list of servers.
		Eventually(func() int { return e.sendOrder("/a/") }, soon).Should(Equal(200))
		hold.Store(true)
		answered := len(s.Requests())
		statuses := make(chan int, 1)
		go func() {
			defer GinkgoRecover()
			statuses <- e.sendOrder("/a/")
		}()
		Eventually(s.Requests, soon).Should(HaveLen(answered + 1))
		e.stop()
		Eventually(e.readyStatus, soon).Should(Equal(503))
		close(release)
		Eventually(statuses, soon).Should(Receive(Equal(200)))
		Eventually(e.done, 10*time.Second).Should(Receive(BeNil()))
	})

	DescribeTable("logs the cause of a failed request under its id",
		// Guards against failures whose cause cannot be found from the id of the request:
		// the server, what ended the attempt, and why it was not retried.
		func(kind string, respond func(*platformtest.Server, net.Conn, *platformtest.Request), expected ...string) {
			e := startEntry()
			s := platformtest.NewServer("desk-1", respond)
			DeferCleanup(s.Close)
			e.putServer(s, "ready")
			r := newRoute("/a/")
			r["route_type"] = kind
			e.putConfig(1, r)
			Eventually(func() string {
				e.sendAndIgnore("/a/")
				return e.logs.String()
			}, soon).Should(MatchRegexp(`event=720[12] .*server=desk-1`))
			for _, pattern := range expected {
				Expect(e.logs.String()).To(MatchRegexp(pattern))
			}
		},
		Entry("unknown outcome", "non_idempotent", platformtest.ResetConnection,
			`event=7201 .*request=id-7 outcome=unknown reason="no answer" status=502 .*server=desk-1 attempts=1 .*limit_ms=3000`),
		Entry("stream cut before its end", "streaming", platformtest.RespondEvents(0, 3, false),
			`event=7201 .*request=id-7 outcome=broken reason="stream broken off" status=200 .*server=desk-1 attempts=1 .*events=4`),
		Entry("rejected by the server", "non_idempotent", platformtest.RespondNotExecuted,
			`event=7202 .*request=id-7 server=desk-1 reason="rejected by the server"|outcome=refused reason="rejected by the server"`),
	)

	It("exposes its view of the deployment as metrics", func() {
		// Guards against refused requests whose reason cannot be seen in the metrics.
		e := startEntry()
		s := desk()
		e.putServer(s, "ready")
		e.putConfig(3, newRoute("/a/"))
		Eventually(func() int { return e.sendOrder("/a/") }, soon).Should(Equal(200))
		Expect(e.scrapeMetrics()).To(And(
			ContainSubstring("auburnbend_config_version 3"),
			ContainSubstring("auburnbend_store_reachable 1"),
			MatchRegexp(`auburnbend_backend_servers\{condition="open",service="desk"\} 1`),
			MatchRegexp(`auburnbend_repeats_left\{service="desk"\} [0-9.]+`),
			MatchRegexp(`auburnbend_config_age_seconds [0-9.]+`),
		))
		e.putServer(s, "draining")
		Eventually(e.scrapeMetrics, soon).Should(MatchRegexp(`auburnbend_backend_servers\{condition="draining",service="desk"\} 1`))
		e.store.FailWith(503)
		Eventually(e.scrapeMetrics, soon).Should(ContainSubstring("auburnbend_store_reachable 0"))
	})

	It("counts the signals of servers in its metrics", func() {
		e := startEntry()
		s := platformtest.NewServer("desk-1", platformtest.RespondRaw(200, "Server-Leaving: 1\r\nContent-Length: 4\r\n", "done"))
		DeferCleanup(s.Close)
		e.putServer(s, "ready")
		e.putConfig(3, newRoute("/a/"))
		Eventually(func() int { return e.sendOrder("/a/") }, soon).Should(Equal(200))
		Expect(e.scrapeMetrics()).To(ContainSubstring(`auburnbend_server_signals_total{kind="draining",source="answer"} 1`))
	})

	It("logs the end of a request with its id and the inputs of the decision", func() {
		e := startEntry()
		e.putConfig(1, newRoute("/a/"))
		Eventually(e.readyStatus, soon).Should(Equal(200))
		Expect(e.sendOrder("/a/")).To(Equal(503))
		Eventually(e.logs.String, soon).Should(MatchRegexp(`event=7201 .*request=id-7 outcome=refused reason=no_server status=503 .*config=1`))
	})
})

var _ = Describe("NewCommand", func() {
	It("validates a settings file and reports the invalid setting", func() {
		path := filepath.Join(GinkgoT().TempDir(), "node.yaml")
		Expect(os.WriteFile(path, []byte("node_name: x\nip: none\nzone: z\n"), 0o600)).To(Succeed())
		cmd := NewCommand(Program{Name: "test"}, io.Discard)
		cmd.SetArgs([]string{"--settings", path, "--check"})
		Expect(cmd.Execute()).To(MatchError(ContainSubstring(`ip: "none" is not an IP address`)))
	})
})

package node

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
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

const (
	testHost   = "site.example"
	testAPIKey = "key-of-the-carvers"
	poisonBody = "content that crashes every server"
	// restartDelay is the time after which a crashed server serves again.
	restartDelay = 500 * time.Millisecond
	// stabilityTime is the time after a fault until the bounds hold again.
	stabilityTime = time.Second
	serverSlots   = 6
	// workTime is the time that a response takes, or the time between two events of a stream.
	workTime   = 5 * time.Millisecond
	callerPort = 8005
)

var (
	testWeights = platformtest.Weights{Model: "m", Pieces: 8, PieceSize: 512}
	testRegions = map[string]string{"north": "n", "south": "s"}
	testDomains = []string{"north", "south"}
	testRoutes  = []platformtest.Route{
		{Host: testHost, Prefix: "/status/", Kind: "idempotent", Service: "desk", TimeoutMS: 3000, TargetMS: 500, MaxServers: 2},
		{Host: testHost, Prefix: "/order/", Kind: "non_idempotent", Service: "desk", TimeoutMS: 3000, TargetMS: 500, MaxServers: 2},
		{Host: testHost, Prefix: "/draft/", Kind: "streaming", Service: "engines", TimeoutMS: 3000, TargetMS: 500, MaxServers: 2, Resumable: true},
	}
)

// deployment runs entries, agents, engines and plain servers of two regions in the
// test process. It is safe for concurrent use, except for starting and restarting.
type deployment struct {
	// daemons are the daemons that have not returned.
	daemons sync.WaitGroup

	subnet   int
	store    *platformtest.Store
	backends []*platformtest.Backend
	entries  []*entryDaemon
	logs     *logBuffer

	// cut decides which of two entries or agents get no datagrams from each other; nil
	// cuts none off.
	cut atomic.Pointer[func(a, b netip.Addr) bool]

	mu   sync.Mutex
	runs []platformtest.Run
	// sentTo holds the entry to which each request was sent, by attempt.
	sentTo map[string]int
	// events are the events of all servers in order of time.
	events []serverEvent
}

// entryDaemon is a running entry.
type entryDaemon struct {
	settings *platform.Settings
	stop     context.CancelFunc
	done     chan struct{}
}

// RunStarted implements platformtest.Recorder.
func (s *deployment) RunStarted(r platformtest.Run) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.runs = append(s.runs, r)
}

// RequestArrived implements platformtest.Recorder.
func (s *deployment) RequestArrived(server, attempt string) {
	s.recordEvent(server, attempt, eventArrived)
}

// DrainingSent implements platformtest.Recorder.
func (s *deployment) DrainingSent(server, attempt string) {
	s.recordEvent(server, attempt, eventDraining)
}

// RetryAfterSent implements platformtest.Recorder.
func (s *deployment) RetryAfterSent(server, attempt string, _ time.Duration) {
	s.recordEvent(server, attempt, eventRetryAfter)
}

// RateLimitSent implements platformtest.Recorder.
func (s *deployment) RateLimitSent(server, attempt string, _ float64) {
	s.recordEvent(server, attempt, eventRateLimit)
}

// LoadOrdered implements platformtest.Recorder.
func (s *deployment) LoadOrdered(platformtest.Load) {}

// serverEvent is a request that arrived at a server or a signal that the server sent
// with the response.
type serverEvent struct {
	server, attempt, kind string
	at                    time.Time
}

// Kinds of serverEvent.
const (
	eventArrived    = "arrived"
	eventDraining   = "draining"
	eventRetryAfter = "retry-after"
	eventRateLimit  = "rate-limit"
)

func (s *deployment) recordEvent(server, attempt, kind string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.events = append(s.events, serverEvent{server, attempt, kind, time.Now()})
}

// eventsAt returns the events of one kind at a server.
func (s *deployment) eventsAt(server, kind string) []serverEvent {
	s.mu.Lock()
	defer s.mu.Unlock()
	var found []serverEvent
	for _, e := range s.events {
		if e.server == server && e.kind == kind {
			found = append(found, e)
		}
	}
	return found
}

func (s *deployment) ip(group, number int) string {
	return fmt.Sprintf("127.%d.%d.%d", s.subnet, group, number+1)
}

func (s *deployment) address(group, number, port int) string {
	return fmt.Sprintf("%s:%d", s.ip(group, number), port)
}

// newDeployment starts a deployment on loopback addresses that begin with 127 and
// subnet, which no other spec may use, or with the next free one.
func newDeployment(subnet, entries, engines, plain int) *deployment {
	subnet, reservation, err := loopback.ReserveSubnet(subnet)
	Expect(err).NotTo(HaveOccurred())
	s := &deployment{subnet: subnet, store: platformtest.NewStore(), logs: &logBuffer{}, sentTo: make(map[string]int)}
	DeferCleanup(func() {
		// Daemons that have not returned still use their addresses.
		s.daemons.Wait()
		Expect(reservation.Close()).To(Succeed())
		s.store.Close()
		if CurrentSpecReport().Failed() {
			GinkgoWriter.Println(s.logs.String())
		}
	})
	origin, err := platformtest.NewOrigin(s.address(1, 0, 9000), testWeights, 1)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(origin.Close)
	s.store.PutLiveConfig(s.liveConfig(1))
	for i := range engines {
		s.startBackend(platformtest.BackendConfig{
			ID: fmt.Sprintf("engine-%d", i), Service: "engines", Address: s.address(2, i, 9000), Weights: &testWeights, Version: 1, Events: 3,
		}, i)
		s.startAgent(i)
	}
	for i := range plain {
		s.startBackend(platformtest.BackendConfig{ID: fmt.Sprintf("desk-%d", i), Service: "desk", Address: s.address(3, i, 9000)}, i)
	}
	for i := range entries {
		s.entries = append(s.entries, s.startEntry(i))
	}
	for i := range s.entries {
		Eventually(func() int { return s.send(i, "/status/", fmt.Sprintf("start-%d", i)).Status }, 5*time.Second).Should(Equal(http.StatusOK))
	}
	return s
}

// liveConfig returns a version of the live configuration with testRoutes and a team that
// all regions may serve.
func (s *deployment) liveConfig(version int) platformtest.LiveConfig {
	return platformtest.LiveConfig{
		Version: version, Routes: testRoutes, EngineService: "engines", Slots: serverSlots, Weights: testWeights,
		Origin: s.address(1, 0, 9000), OriginMbps: 100, PlainServices: []string{"desk"}, Team: "carvers", APIKey: testAPIKey,
	}
}

func (s *deployment) startBackend(c platformtest.BackendConfig, number int) {
	c.Listen, c.Domain, c.Slots, c.WorkTime = c.Address, testDomains[number%len(testDomains)], serverSlots, workTime
	c.PoisonBody, c.PoisonPart, c.RestartDelay, c.Store, c.Recorder = poisonBody, poisonPart, restartDelay, s.store, s
	b, err := platformtest.NewBackend(c)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(b.Close)
	s.backends = append(s.backends, b)
}

func (s *deployment) settings(i platformtest.Instance, number int) *platform.Settings {
	i.Domain = testDomains[number%len(testDomains)]
	i.Region, i.Regions, i.FirstPort, i.StoreAddress = testRegions[i.Domain], testRegions, 7700, s.store.Address()
	i.Bounds = platformtest.Bounds{
		DrainMS: 1000, StopMS: 4000, ConfigMS: 2000, StabilityMS: int(stabilityTime.Milliseconds()), VersionMS: 4000, EvacuateMS: int(evacuateTime.Milliseconds()),
		RetryRatio: 0.2, RetrySlack: 100, RetryWindowS: 10,
	}
	path := filepath.Join(GinkgoT().TempDir(), "node.yaml")
	Expect(os.WriteFile(path, []byte(i.Settings()), 0o600)).To(Succeed())
	settings, err := platform.LoadSettings(path)
	Expect(err).NotTo(HaveOccurred())
	return settings
}

// startDaemon runs a daemon until the end of the spec or until stop is called. done is
// closed when it has returned.
func (s *deployment) startDaemon(daemon func(context.Context, Environment) error, settings *platform.Settings) (stop context.CancelFunc, done chan struct{}) {
	ctx, stop := context.WithCancel(context.Background())
	done = make(chan struct{})
	DeferCleanup(stop)
	s.daemons.Add(1)
	go func() {
		defer s.daemons.Done()
		defer close(done)
		defer GinkgoRecover()
		log := eventlog.OpenPlain(s.logs, clock.System{}).With("instance", settings.Instance)
		self := netip.MustParseAddr(settings.Address)
		isCutOff := func(peer netip.AddrPort) bool {
			cut := s.cut.Load()
			return cut != nil && ((*cut)(self, peer.Addr()) || (*cut)(peer.Addr(), self))
		}
		Expect(daemon(ctx, Environment{Settings: settings, Log: log, isCutOff: isCutOff})).To(Succeed())
	}()
	return stop, done
}

func (s *deployment) startAgent(i int) {
	s.startDaemon(RunReplica, s.settings(platformtest.Instance{
		Name: fmt.Sprintf("agent-%d", i), IP: s.ip(2, i), EngineAddress: s.address(2, i, 9000), EngineService: "engines",
	}, i))
}

func (s *deployment) startEntry(i int) *entryDaemon {
	settings := s.settings(platformtest.Instance{Name: fmt.Sprintf("entry-%d", i), IP: s.ip(4, i), CallerPort: callerPort, ReadyPort: 8002}, i)
	stop, done := s.startDaemon(RunGateway, settings)
	return &entryDaemon{settings: settings, stop: stop, done: done}
}

// restart stops an entry, starts it again and waits until it serves.
func (s *deployment) restart(i int) {
	s.entries[i].stop()
	Eventually(s.entries[i].done, 8*time.Second).Should(BeClosed())
	Expect(checkPortsFree(s.entries[i].settings)).To(Succeed())
	s.entries[i] = s.startEntry(i)
	Eventually(func() int { return s.send(i, "/status/", fmt.Sprint("restart-", i)).Status }, 5*time.Second).Should(Equal(http.StatusOK))
}

// checkPortsFree returns an error unless a daemon can listen on its own port.
func checkPortsFree(settings *platform.Settings) error {
	address := fmt.Sprintf("%s:%d", settings.Address, settings.FirstPort)
	udp, err := net.ListenPacket("udp", address)
	if err != nil {
		return err
	}
	defer udp.Close()
	tcp, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	return tcp.Close()
}

// attemptCounter numbers the requests of all specs.
var attemptCounter struct {
	sync.Mutex
	last int
}

// send sends a request with a new id to an entry, on a connection of its own. It returns a
// zero Response if the connection fails.
func (s *deployment) send(entry int, prefix, content string) platformtest.Response {
	return s.sendWith(&http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 4 * time.Second}, entry, prefix, content)
}

// sendWith is like send, but uses the connections of a client.
func (s *deployment) sendWith(client *http.Client, entry int, prefix, content string) platformtest.Response {
	return s.sendCall(client, entry, s.newCall(entry, prefix, content))
}

// newCall returns a request with a new id for an entry.
func (s *deployment) newCall(entry int, prefix, content string) platformtest.Call {
	attemptCounter.Lock()
	attemptCounter.last++
	id := fmt.Sprintf("attempt-%d", attemptCounter.last)
	attemptCounter.Unlock()
	s.mu.Lock()
	s.sentTo[id] = entry
	s.mu.Unlock()
	call := platformtest.Call{Host: testHost, Path: prefix + "x", AttemptID: id, APIKey: testAPIKey, Timeout: 2 * time.Second, LastEventID: -1, Body: content}
	if prefix == "/draft/" {
		call.Model, call.PromptTokens, call.MaxTokens = testWeights.Model, 100, 15
	}
	return call
}

// sendCall sends a request to an entry, on the connections of a client. It returns a zero
// Response if the connection fails.
func (s *deployment) sendCall(client *http.Client, entry int, call platformtest.Call) platformtest.Response {
	req, err := call.Request(context.Background(), s.address(4, entry, callerPort))
	Expect(err).NotTo(HaveOccurred())
	resp, err := client.Do(req)
	if err != nil {
		return platformtest.Response{}
	}
	return platformtest.ReadResponse(resp)
}

// runsOf returns the runs of requests with the given body in order of time.
func (s *deployment) runsOf(content string) []platformtest.Run {
	s.mu.Lock()
	defer s.mu.Unlock()
	var runs []platformtest.Run
	for _, r := range s.runs {
		if r.Body == content {
			runs = append(runs, r)
		}
	}
	return runs
}

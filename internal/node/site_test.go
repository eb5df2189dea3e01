package node

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/auburnbend/auburnbend/lib/clock"
	"github.com/auburnbend/auburnbend/lib/eventlog"
	"github.com/auburnbend/auburnbend/platform"
	"github.com/auburnbend/auburnbend/platform/platformtest"
)

const (
	siteHost   = "site.example"
	siteKey    = "key-of-the-carvers"
	sitePoison = "content that ends every server"
	// sitePause is the time after which an ended server serves again.
	sitePause = 500 * time.Millisecond
	// siteStall is the time after which bounds hold again after a fault.
	siteStall = time.Second
	siteSlots = 6
)

var (
	siteWeights = platformtest.Weights{Model: "m", Pieces: 8, PieceSize: 512}
	siteRegions = map[string]string{"north": "n", "south": "s"}
	siteDomains = []string{"north", "south"}
	siteRoutes  = []platformtest.Route{
		{Host: siteHost, Prefix: "/status/", Kind: "idempotent", Service: "desk", TimeoutMS: 3000, TargetMS: 500, MaxServers: 2},
		{Host: siteHost, Prefix: "/order/", Kind: "non_idempotent", Service: "desk", TimeoutMS: 3000, TargetMS: 500, MaxServers: 2},
		{Host: siteHost, Prefix: "/draft/", Kind: "streaming", Service: "engines", TimeoutMS: 3000, TargetMS: 500, MaxServers: 2, Resumable: true},
	}
)

// site is a deployment of the platform's daemons in this process: entries and
// agents in two regions, engines and plain servers.
type site struct {
	network  int
	store    *platformtest.Store
	backends []*platformtest.Backend
	entries  []*siteEntry
	logs     *lines

	mu   sync.Mutex
	runs []platformtest.Run
	// events are those of all servers in order.
	events []serverEvent
}

// siteEntry is an entry that may be stopped and started.
type siteEntry struct {
	settings *platform.Settings
	stop     context.CancelFunc
	ended    chan struct{}
}

// RunStarted implements platformtest.Recorder.
func (s *site) RunStarted(r platformtest.Run) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.runs = append(s.runs, r)
}

// RequestArrived implements platformtest.Recorder.
func (s *site) RequestArrived(server, attempt string) { s.note(server, attempt, eventArrived) }

// DrainingSent implements platformtest.Recorder.
func (s *site) DrainingSent(server, attempt string) { s.note(server, attempt, eventLeaving) }

// RetryAfterSent implements platformtest.Recorder.
func (s *site) RetryAfterSent(server, attempt string, _ time.Duration) {
	s.note(server, attempt, eventPause)
}

// LoadOrdered implements platformtest.Recorder.
func (s *site) LoadOrdered(string, int, bool) {}

// serverEvent is a request at a server, or what the server told about further ones.
type serverEvent struct {
	server, attempt, kind string
	at                    time.Time
}

// Kinds of events.
const (
	eventArrived = "arrived"
	eventLeaving = "leaving"
	eventPause   = "pause"
)

func (s *site) note(server, attempt, kind string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.events = append(s.events, serverEvent{server, attempt, kind, time.Now()})
}

// eventsOf returns the events of a kind at a server.
func (s *site) eventsOf(server, kind string) []serverEvent {
	s.mu.Lock()
	defer s.mu.Unlock()
	var found []serverEvent
	for _, w := range s.events {
		if w.server == server && w.kind == kind {
			found = append(found, w)
		}
	}
	return found
}

func (s *site) ip(group, number int) string {
	return fmt.Sprintf("127.%d.%d.%d", s.network, group, number+1)
}

func (s *site) address(group, number, port int) string {
	return fmt.Sprintf("%s:%d", s.ip(group, number), port)
}

// newSite starts a site whose addresses begin with 127 and a number that no other
// spec uses.
func newSite(network, entries, engines, plain int) *site {
	s := &site{network: network, store: platformtest.NewStore(), logs: &lines{}}
	DeferCleanup(func() {
		s.store.Close()
		if CurrentSpecReport().Failed() {
			GinkgoWriter.Println(s.logs.String())
		}
	})
	origin, err := platformtest.NewOrigin(s.address(1, 0, 9000), siteWeights, 1)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(origin.Close)
	s.store.PutLiveConfig(platformtest.LiveConfig{
		Version: 1, Routes: siteRoutes, EngineService: "engines", Slots: siteSlots, Weights: siteWeights,
		Origin: s.address(1, 0, 9000), OriginMbps: 100, PlainServices: []string{"desk"}, Team: "carvers", APIKey: siteKey,
	})
	for i := range engines {
		s.startBackend(platformtest.BackendConfig{
			ID: fmt.Sprintf("engine-%d", i), Service: "engines", Address: s.address(2, i, 9000), Weights: &siteWeights, Version: 1, Events: 3,
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
		Eventually(func() int { return s.ask(i, "/status/", fmt.Sprintf("start-%d", i)).Status }, 5*time.Second).Should(Equal(http.StatusOK))
	}
	return s
}

func (s *site) startBackend(c platformtest.BackendConfig, number int) {
	c.Listen, c.Domain, c.Slots, c.WorkTime = c.Address, siteDomains[number%len(siteDomains)], siteSlots, 5*time.Millisecond
	c.PoisonBody, c.RestartDelay, c.Store, c.Recorder = sitePoison, sitePause, s.store, s
	b, err := platformtest.NewBackend(c)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(b.Close)
	s.backends = append(s.backends, b)
}

func (s *site) settings(i platformtest.Instance, number int) *platform.Settings {
	i.Domain = siteDomains[number%len(siteDomains)]
	i.Region, i.Regions, i.FirstPort, i.StoreAddress = siteRegions[i.Domain], siteRegions, 7700, s.store.Address()
	i.Bounds = platformtest.Bounds{
		DrainMS: 1000, StopMS: 4000, ConfigMS: 2000, StableMS: int(siteStall.Milliseconds()), VersionMS: 4000,
		RetryRatio: 0.2, RetrySlack: 100, RetryWindowS: 10,
	}
	path := filepath.Join(GinkgoT().TempDir(), "node.yaml")
	Expect(os.WriteFile(path, []byte(i.Settings()), 0o600)).To(Succeed())
	settings, err := platform.LoadSettings(path)
	Expect(err).NotTo(HaveOccurred())
	return settings
}

// run starts a daemon that ends with the spec, or with the returned function.
func (s *site) run(daemon func(context.Context, Environment) error, settings *platform.Settings) (stop context.CancelFunc, ended chan struct{}) {
	ctx, stop := context.WithCancel(context.Background())
	ended = make(chan struct{})
	DeferCleanup(stop)
	go func() {
		defer close(ended)
		defer GinkgoRecover()
		log := eventlog.OpenPlain(s.logs, clock.System{}).With("instance", settings.Instance)
		Expect(daemon(ctx, Environment{Settings: settings, Log: log})).To(Succeed())
	}()
	return stop, ended
}

func (s *site) startAgent(i int) {
	s.run(RunReplica, s.settings(platformtest.Instance{
		Name: fmt.Sprintf("agent-%d", i), IP: s.ip(2, i), EngineAddress: s.address(2, i, 9000), EngineService: "engines",
	}, i))
}

func (s *site) startEntry(i int) *siteEntry {
	settings := s.settings(platformtest.Instance{Name: fmt.Sprintf("entry-%d", i), IP: s.ip(4, i), CallerPort: 8005, ReadyPort: 8002}, i)
	stop, ended := s.run(RunGateway, settings)
	return &siteEntry{settings: settings, stop: stop, ended: ended}
}

// restart stops an entry and starts it anew.
func (s *site) restart(i int) {
	s.entries[i].stop()
	Eventually(s.entries[i].ended, 8*time.Second).Should(BeClosed())
	// Its goroutines close their ports right after; a process would have ended.
	Eventually(func() error { return portsFree(s.entries[i].settings) }, time.Second, time.Millisecond).Should(Succeed())
	s.entries[i] = s.startEntry(i)
	Eventually(func() int { return s.ask(i, "/status/", fmt.Sprint("again-", i)).Status }, 5*time.Second).Should(Equal(http.StatusOK))
}

// portsFree reports whether a daemon can listen on its own port.
func portsFree(settings *platform.Settings) error {
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

// attempts numbers the requests of all callers.
var attempts struct {
	sync.Mutex
	last int
}

// ask sends a request with a body to an entry. Each has an id of its own.
func (s *site) ask(entry int, prefix, content string) platformtest.Response {
	attempts.Lock()
	attempts.last++
	id := fmt.Sprintf("try-%d", attempts.last)
	attempts.Unlock()
	call := platformtest.Call{Host: siteHost, Path: prefix + "x", AttemptID: id, APIKey: siteKey, Timeout: 2 * time.Second, LastEventID: -1, Body: content}
	if prefix == "/draft/" {
		call.Model, call.PromptTokens, call.MaxTokens = siteWeights.Model, 100, 15
	}
	req, err := call.Request(context.Background(), s.entries[entry].settings.CallerAddress)
	Expect(err).NotTo(HaveOccurred())
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 4 * time.Second}
	resp, err := client.Do(req)
	if err != nil {
		return platformtest.Response{}
	}
	return platformtest.ReadResponse(resp)
}

// ran returns the runs of requests with a body, in order.
func (s *site) ran(content string) []platformtest.Run {
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

package engine

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"

	api "github.com/auburnbend/auburnbend/lib/engine"
	"github.com/auburnbend/auburnbend/lib/model"
	"github.com/auburnbend/auburnbend/standin/internal/listen"
)

// relistenRetryDelay is the delay between attempts to listen on the port again after a
// crash.
const relistenRetryDelay = 20 * time.Millisecond

// Server is a running engine stand-in.
type Server struct {
	cfg     Config
	address string
	closed  chan struct{}
	once    sync.Once
	tasks   sync.WaitGroup

	// mu protects the fields below.
	mu       sync.Mutex
	listener *listen.Tracker
	down     bool
	stalled  bool
	faults   Faults

	incarnation uint64
	weights     model.Weights
	// loaded contains the digests of the loaded files, in load order.
	loaded              []model.Digest
	role                api.Role
	accepted            api.Fence
	runningOrders       int
	failure             string
	acceptedOrders      []api.Order
	outdatedOrders      int
	maxConcurrentOrders int

	arrivals         uint64
	streams          map[string]*stream
	waiting          []*stream
	running          []*stream
	runs             map[model.RequestID]int
	contentRuns      map[model.Digest]int
	cache            cache
	samples          []sample
	firstTokenMillis float64
}

// Start starts a server, which runs until Close.
func Start(cfg Config) (*Server, error) {
	cfg.applyDefaults()
	s := &Server{
		cfg: cfg, closed: make(chan struct{}), incarnation: 1, role: api.RoleMixed,
		streams: make(map[string]*stream), runs: make(map[model.RequestID]int), contentRuns: make(map[model.Digest]int),
		cache: cache{
			limit: cfg.CacheCapacity, delay: cfg.scaled(cfg.CacheEventDelay), loss: cfg.CacheEventLoss,
			random: rand.New(rand.NewPCG(cfg.Seed, 0)),
		},
	}
	ln, err := listen.New(cfg.Address)
	if err != nil {
		return nil, merry.Prepend(err, "start engine stand-in")
	}
	s.address = ln.Addr().String()
	s.serve(ln)
	s.tasks.Add(1)
	go s.schedule()
	return s, nil
}

// serve starts the HTTP server of one incarnation.
func (s *Server) serve(ln *listen.Tracker) {
	s.mu.Lock()
	s.listener, s.down = ln, false
	s.mu.Unlock()
	h := ln.NewServer()
	s.routes(h)
	s.tasks.Go(func() { _ = h.Run() })
}

// Address returns the IP address and port of the server.
func (s *Server) Address() string { return s.address }

// URL returns the base URL for clients.
func (s *Server) URL() string { return "http://" + s.address }

// Close closes all connections and stops the server. It always returns nil.
func (s *Server) Close() error {
	s.once.Do(func() {
		close(s.closed)
		s.mu.Lock()
		ln := s.listener
		s.mu.Unlock()
		ln.CloseAll()
		s.tasks.Wait()
	})
	return nil
}

// Crash aborts all requests and orders and closes all connections. The engine restarts
// without weights after the restart delay.
func (s *Server) Crash() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.crashLocked()
}

// crashLocked implements Crash. The caller must hold s.mu.
func (s *Server) crashLocked() {
	if s.down {
		return
	}
	s.down = true
	s.incarnation++
	s.weights, s.loaded, s.role = model.Weights{}, nil, api.RoleMixed
	s.accepted, s.runningOrders, s.failure = api.Fence{}, 0, ""
	for _, st := range s.streams {
		st.abortWith("crashed", time.Now())
	}
	s.streams, s.waiting, s.running = make(map[string]*stream), nil, nil
	s.samples = nil
	s.cache.prefixes, s.cache.events, s.cache.sequence = nil, nil, 0
	s.listener.CloseAll()
	s.tasks.Go(s.restart)
}

func (s *Server) restart() {
	if !s.sleep(s.cfg.scaled(s.cfg.RestartDelay)) {
		return
	}
	for {
		ln, err := listen.New(s.address)
		if err == nil {
			s.serve(ln)
			select {
			case <-s.closed:
				ln.CloseAll()
			default:
			}
			return
		}
		if !s.sleep(relistenRetryDelay) {
			return
		}
	}
}

// sleep waits for d. It returns false if the server is closed in the meantime.
func (s *Server) sleep(d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-s.closed:
		return false
	}
}

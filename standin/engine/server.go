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

// relistenInterval is the pause between attempts to take the port again after
// a crash.
const relistenInterval = 20 * time.Millisecond

// Server is a running stand-in.
type Server struct {
	cfg     Config
	address string
	closed  chan struct{}
	once    sync.Once
	wait    sync.WaitGroup

	mu       sync.Mutex
	listener *listen.Tracker
	down     bool
	stalled  bool
	faults   Faults

	incarnation uint64
	weights     model.Weights
	memory      []model.Digest
	role        api.Role
	accepted    api.Fence
	orders      int
	failure     string
	given       []api.Order
	ignored     int
	maxOrders   int

	arrivals   uint64
	streams    map[string]*stream
	waiting    []*stream
	running    []*stream
	runs       map[model.RequestID]int
	cache      cache
	samples    []sample
	firstToken float64
}

// Start listens and serves until Close.
func Start(cfg Config) (*Server, error) {
	cfg.applyDefaults()
	s := &Server{
		cfg: cfg, closed: make(chan struct{}), incarnation: 1, role: api.RoleMixed,
		streams: make(map[string]*stream), runs: make(map[model.RequestID]int),
		cache: cache{
			limit: cfg.CacheCapacity, delay: cfg.scaled(cfg.CacheEventDelay), loss: cfg.CacheEventLoss,
			random: rand.New(rand.NewPCG(cfg.Seed, 0)),
		},
	}
	ln, err := listen.New(cfg.Address)
	if err != nil {
		return nil, merry.Prepend(err, "engine stand-in")
	}
	s.address = ln.Addr().String()
	s.serve(ln)
	s.wait.Add(1)
	go s.schedule()
	return s, nil
}

// serve starts the HTTP server of one incarnation.
func (s *Server) serve(ln *listen.Tracker) {
	s.mu.Lock()
	s.listener, s.down = ln, false
	s.mu.Unlock()
	h := ln.Hertz()
	s.routes(h)
	s.wait.Go(func() { _ = h.Run() })
}

// Address returns the IP address and port.
func (s *Server) Address() string { return s.address }

// URL returns the base address for clients.
func (s *Server) URL() string { return "http://" + s.address }

// Close cuts all connections and stops the engine.
func (s *Server) Close() error {
	s.once.Do(func() {
		close(s.closed)
		s.mu.Lock()
		ln := s.listener
		s.mu.Unlock()
		ln.CutAll()
		s.wait.Wait()
	})
	return nil
}

// Crash ends the engine with all that it runs; it comes back without weights
// after the restart delay.
func (s *Server) Crash() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.crash()
}

// crash is Crash with the lock held.
func (s *Server) crash() {
	if s.down {
		return
	}
	s.down = true
	s.incarnation++
	s.weights, s.memory, s.role = model.Weights{}, nil, api.RoleMixed
	s.accepted, s.orders, s.failure = api.Fence{}, 0, ""
	for _, st := range s.streams {
		st.stop("crashed", time.Now())
	}
	s.streams, s.waiting, s.running = make(map[string]*stream), nil, nil
	s.samples = nil
	s.cache.prefixes, s.cache.events, s.cache.sequence = nil, nil, 0
	s.listener.CutAll()
	s.wait.Go(s.restart)
}

func (s *Server) restart() {
	if !s.pause(s.cfg.scaled(s.cfg.RestartDelay)) {
		return
	}
	for {
		ln, err := listen.New(s.address)
		if err == nil {
			s.serve(ln)
			select {
			case <-s.closed:
				ln.CutAll()
			default:
			}
			return
		}
		if !s.pause(relistenInterval) {
			return
		}
	}
}

// pause sleeps and reports whether the server is still open.
func (s *Server) pause(d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-s.closed:
		return false
	}
}

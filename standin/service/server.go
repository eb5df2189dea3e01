package service

import (
	"context"
	"encoding/json"
	"net"
	"strconv"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/protocol/consts"

	"github.com/auburnbend/auburnbend/lib/engine"
	"github.com/auburnbend/auburnbend/lib/model"
	"github.com/auburnbend/auburnbend/standin/internal/listen"
)

// Server is a running stand-in.
type Server struct {
	cfg    Config
	ln     *listen.Tracker
	closed chan struct{}
	once   sync.Once
	wait   sync.WaitGroup

	mu      sync.Mutex
	faults  Faults
	runs    map[string]int
	running int
	// changes are the past values of running, the oldest first.
	changes []change
}

// Start listens and serves until Close.
func Start(cfg Config) (*Server, error) {
	cfg.applyDefaults()
	ln, err := listen.New(cfg.Address)
	if err != nil {
		return nil, merry.Prepend(err, "service stand-in")
	}
	s := &Server{cfg: cfg, ln: ln, closed: make(chan struct{}), runs: make(map[string]int)}
	h := ln.Hertz()
	h.GET("/v1/load", s.load)
	h.POST("/*path", s.call)
	s.wait.Go(func() { _ = h.Run() })
	return s, nil
}

// Address returns the IP address and port.
func (s *Server) Address() string { return s.ln.Addr().String() }

// URL returns the base address for clients.
func (s *Server) URL() string { return "http://" + s.Address() }

// Close cuts all connections and stops the service.
func (s *Server) Close() error {
	s.once.Do(func() {
		close(s.closed)
		s.ln.CutAll()
		s.wait.Wait()
	})
	return nil
}

// Runs returns how often a call ran that has the given idempotency key or,
// for calls without a key, the given body.
func (s *Server) Runs(keyOrBody string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runs[keyOrBody]
}

// Running returns the number of calls that run now.
func (s *Server) Running() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.running
}

// verdict is what happens to one call.
type verdict struct {
	refuse, fail, drop, cut bool
	delay                   time.Duration
	run                     int
}

// decide uses up faults and counts the run.
func (s *Server) decide(name string) verdict {
	s.mu.Lock()
	defer s.mu.Unlock()
	v := verdict{delay: s.cfg.Delay + s.faults.Delay}
	if take(&s.faults.Refuse) {
		v.refuse = true
		return v
	}
	switch {
	case take(&s.faults.Fail):
		v.fail = true
	case take(&s.faults.DropReply):
		v.drop = true
	case take(&s.faults.CutReply):
		v.cut = true
	}
	s.runs[name]++
	s.setRunning(s.running + 1)
	v.run = s.runs[name]
	return v
}

func (s *Server) call(_ context.Context, c *app.RequestContext) {
	body := append([]byte(nil), c.Request.Body()...)
	key := string(c.GetHeader(engine.HeaderIdempotencyKey))
	path := string(c.Path())
	name := key
	if name == "" {
		name = string(body)
	}
	v := s.decide(name)
	if v.refuse {
		c.Response.Header.Set("Retry-After", "1")
		c.Data(consts.StatusServiceUnavailable, consts.MIMEApplicationJSON, []byte(`{"reason":"busy"}`))
		return
	}
	s.pause(v.delay)
	s.mu.Lock()
	s.setRunning(s.running - 1)
	s.mu.Unlock()
	if v.drop {
		_ = c.GetConn().Close()
		return
	}
	if v.fail {
		c.Data(consts.StatusInternalServerError, consts.MIMEApplicationJSON, []byte(`{"error":"failed"}`))
		return
	}
	answer := Answer{Path: path, Key: key, Digest: model.Sum(body), Run: v.run}
	data, _ := json.Marshal(answer) //nolint:errchkjson // always encodes
	if v.cut {
		cutReply(c.GetConn(), data)
		return
	}
	c.Data(consts.StatusOK, consts.MIMEApplicationJSON, data)
}

// cutReply announces the whole answer, writes half of it and closes.
func cutReply(conn net.Conn, data []byte) {
	head := "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: " + strconv.Itoa(len(data)) + "\r\n\r\n"
	_, _ = conn.Write(append([]byte(head), data[:len(data)/2]...))
	_ = conn.Close()
}

func (s *Server) pause(d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-s.closed:
	}
}

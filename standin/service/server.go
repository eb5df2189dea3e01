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

// Server is a running stand-in for a plain service.
type Server struct {
	cfg    Config
	ln     *listen.Tracker
	closed chan struct{}
	once   sync.Once
	tasks  sync.WaitGroup

	// mu protects the fields below.
	mu      sync.Mutex
	faults  Faults
	runs    map[string]int
	running int
	// calls counts all calls; rateLimit is stated in replies if it is positive.
	calls     int
	rateLimit float64
	// loadChanges are the latest values of running, the oldest first.
	loadChanges []loadChange
}

// Start starts a server, which runs until Close.
func Start(cfg Config) (*Server, error) {
	cfg.applyDefaults()
	ln, err := listen.New(cfg.Address)
	if err != nil {
		return nil, merry.Prepend(err, "start service stand-in")
	}
	s := &Server{cfg: cfg, ln: ln, closed: make(chan struct{}), runs: make(map[string]int)}
	h := ln.NewServer()
	h.GET("/v1/load", s.handleLoad)
	h.POST("/*path", s.handleCall)
	s.tasks.Go(func() { _ = h.Run() })
	return s, nil
}

// Address returns the IP address and port of the server.
func (s *Server) Address() string { return s.ln.Addr().String() }

// URL returns the base URL for clients.
func (s *Server) URL() string { return "http://" + s.Address() }

// Close closes all connections and stops the server. It always returns nil.
func (s *Server) Close() error {
	s.once.Do(func() {
		close(s.closed)
		s.ln.CloseAll()
		s.tasks.Wait()
	})
	return nil
}

// RunCount returns the number of runs of calls with the given idempotency key or, for calls
// without a key, with the given body.
func (s *Server) RunCount(keyOrBody string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runs[keyOrBody]
}

// Running returns the number of running calls.
func (s *Server) Running() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.running
}

// callPlan is the planned handling of one call.
type callPlan struct {
	refuse, fail, drop, truncate bool
	rawReply                     string
	delay                        time.Duration
	// runNumber is the number of runs of the call's key or body, including this one.
	runNumber int
}

// planCall consumes the faults for one call. Unless the call is refused, it counts the
// run under runKey.
func (s *Server) planCall(runKey string) callPlan {
	s.mu.Lock()
	defer s.mu.Unlock()
	plan := callPlan{delay: s.cfg.Delay + s.faults.Delay, rawReply: s.faults.RawReply}
	if consumeFault(&s.faults.Refuse) {
		plan.refuse = true
		return plan
	}
	switch {
	case consumeFault(&s.faults.Fail):
		plan.fail = true
	case consumeFault(&s.faults.DropReply):
		plan.drop = true
	case consumeFault(&s.faults.TruncateReply):
		plan.truncate = true
	}
	s.runs[runKey]++
	s.setRunning(s.running + 1)
	plan.runNumber = s.runs[runKey]
	return plan
}

func (s *Server) handleCall(_ context.Context, c *app.RequestContext) {
	s.recordCall(c)
	body := append([]byte(nil), c.Request.Body()...)
	key := string(c.GetHeader(engine.HeaderIdempotencyKey))
	path := string(c.Path())
	runKey := key
	if runKey == "" {
		runKey = string(body)
	}
	plan := s.planCall(runKey)
	if plan.refuse {
		c.Response.Header.Set("Retry-After", "1")
		c.Data(consts.StatusServiceUnavailable, consts.MIMEApplicationJSON, []byte(`{"reason":"busy"}`))
		return
	}
	s.sleep(plan.delay)
	s.mu.Lock()
	s.setRunning(s.running - 1)
	s.mu.Unlock()
	if plan.drop {
		_ = c.GetConn().Close()
		return
	}
	if plan.rawReply != "" {
		_, _ = c.GetConn().Write([]byte(plan.rawReply))
		_ = c.GetConn().Close()
		return
	}
	if plan.fail {
		c.Data(consts.StatusInternalServerError, consts.MIMEApplicationJSON, []byte(`{"error":"failed"}`))
		return
	}
	response := Response{Path: path, Key: key, Digest: model.Sum(body), Run: plan.runNumber}
	data, _ := json.Marshal(response) //nolint:errchkjson // always encodes
	if plan.truncate {
		writeTruncated(c.GetConn(), data)
		return
	}
	c.Data(consts.StatusOK, consts.MIMEApplicationJSON, data)
}

// writeTruncated writes response headers with the full Content-Length and half of the
// body, and closes the connection.
func writeTruncated(conn net.Conn, data []byte) {
	header := "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: " + strconv.Itoa(len(data)) + "\r\n\r\n"
	_, _ = conn.Write(append([]byte(header), data[:len(data)/2]...))
	_ = conn.Close()
}

// sleep waits for d or until the server is closed.
func (s *Server) sleep(d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-s.closed:
	}
}

package service

import (
	"strconv"

	"github.com/cloudwego/hertz/pkg/app"

	"github.com/auburnbend/auburnbend/lib/engine"
)

// SetRateLimit adds a rate limit, in requests per second, to all replies; zero removes
// it. The server enforces nothing.
func (s *Server) SetRateLimit(perSecond float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rateLimit = perSecond
}

// CallCount returns the number of calls, including refused ones.
func (s *Server) CallCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// recordCall counts a call and adds the rate limit to its reply.
func (s *Server) recordCall(c *app.RequestContext) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	if s.rateLimit > 0 {
		c.Response.Header.Set(engine.HeaderRateLimit, strconv.FormatFloat(s.rateLimit, 'f', -1, 64))
	}
}

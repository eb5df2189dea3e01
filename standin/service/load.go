package service

import (
	"context"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/protocol/consts"

	"github.com/auburnbend/auburnbend/lib/engine"
)

// maxLoadChanges is the number of load changes above which the older half is discarded.
const maxLoadChanges = 1024

// loadChange is a change of the number of running calls.
type loadChange struct {
	at      time.Time
	running int
}

// setRunning sets the number of running calls and records the change. The caller must
// hold s.mu.
func (s *Server) setRunning(running int) {
	s.running = running
	s.loadChanges = append(s.loadChanges, loadChange{at: time.Now(), running: running})
	if len(s.loadChanges) > maxLoadChanges {
		s.loadChanges = append([]loadChange(nil), s.loadChanges[maxLoadChanges/2:]...)
	}
}

// handleLoad replies with the load at the time LoadLag ago.
func (s *Server) handleLoad(_ context.Context, c *app.RequestContext) {
	if s.cfg.Capacity == 0 {
		c.AbortWithStatus(consts.StatusNotFound)
		return
	}
	report := engine.LoadReport{Capacity: s.cfg.Capacity, AgeMillis: s.cfg.LoadLag.Milliseconds()}
	asOf := time.Now().Add(-s.cfg.LoadLag)
	s.mu.Lock()
	for _, change := range s.loadChanges {
		if !change.at.After(asOf) {
			report.Running = change.running
		}
	}
	s.mu.Unlock()
	c.JSON(consts.StatusOK, report)
}

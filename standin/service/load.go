package service

import (
	"context"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/protocol/consts"

	"github.com/auburnbend/auburnbend/lib/engine"
)

// maxChanges bounds the kept changes of the load.
const maxChanges = 1024

// change is the number of running calls from a time on.
type change struct {
	at      time.Time
	running int
}

// setRunning notes a change of the load. The caller holds mu.
func (s *Server) setRunning(running int) {
	s.running = running
	s.changes = append(s.changes, change{at: time.Now(), running: running})
	if len(s.changes) > maxChanges {
		s.changes = append([]change(nil), s.changes[maxChanges/2:]...)
	}
}

// load answers with the load as it was the lag ago.
func (s *Server) load(_ context.Context, c *app.RequestContext) {
	if s.cfg.Capacity == 0 {
		c.AbortWithStatus(consts.StatusNotFound)
		return
	}
	report := engine.LoadReport{Capacity: s.cfg.Capacity, AgeMillis: s.cfg.LoadLag.Milliseconds()}
	then := time.Now().Add(-s.cfg.LoadLag)
	s.mu.Lock()
	for _, past := range s.changes {
		if !past.at.After(then) {
			report.Running = past.running
		}
	}
	s.mu.Unlock()
	c.JSON(consts.StatusOK, report)
}

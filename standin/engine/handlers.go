package engine

import (
	"context"
	"encoding/json"
	"strconv"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/app/server"
	"github.com/cloudwego/hertz/pkg/protocol/consts"

	api "github.com/auburnbend/auburnbend/lib/engine"
)

func (s *Server) routes(h *server.Hertz) {
	h.Use(s.holdWhileStalled)
	h.POST("/v1/generate", s.generate)
	h.POST("/v1/streams/:stream/cancel", s.cancel)
	h.POST("/v1/orders", s.order)
	h.GET("/v1/state", func(_ context.Context, c *app.RequestContext) { writeJSON(c, s.State()) })
	h.GET("/v1/load", func(_ context.Context, c *app.RequestContext) {
		s.mu.Lock()
		r := s.delayedReport(time.Now())
		s.mu.Unlock()
		writeJSON(c, r)
	})
	h.GET("/v1/cache", func(_ context.Context, c *app.RequestContext) { writeJSON(c, s.snapshot()) })
	h.GET("/v1/cache-events", s.cacheEvents)
}

// holdWhileStalled is a middleware that delays requests while the engine is stalled.
func (s *Server) holdWhileStalled(ctx context.Context, c *app.RequestContext) {
	for s.isStalled() {
		if !s.sleep(time.Millisecond) {
			return
		}
	}
	c.Next(ctx)
}

func writeJSON(c *app.RequestContext, body any) {
	data, err := json.Marshal(body)
	if err != nil {
		c.SetStatusCode(consts.StatusInternalServerError)
		return
	}
	c.Data(consts.StatusOK, consts.MIMEApplicationJSON, data)
}

func refuse(c *app.RequestContext, status int, reason string) {
	data, _ := json.Marshal(struct { //nolint:errchkjson // a string always encodes
		Reason string `json:"reason"`
	}{reason})
	c.Data(status, consts.MIMEApplicationJSON, data)
}

func (s *Server) cancel(_ context.Context, c *app.RequestContext) {
	s.mu.Lock()
	st, ok := s.streams[c.Param("stream")]
	if ok {
		st.abortWith("canceled", time.Now())
	}
	s.mu.Unlock()
	if !ok {
		refuse(c, consts.StatusNotFound, api.RefusalStream)
		return
	}
	writeJSON(c, struct{}{})
}

func (s *Server) cacheEvents(_ context.Context, c *app.RequestContext) {
	after, err := strconv.ParseUint(c.Query("after"), 10, 64)
	if err != nil {
		refuse(c, consts.StatusBadRequest, "query parameter after is not a number")
		return
	}
	s.mu.Lock()
	batch := api.CacheEventBatch{Incarnation: s.incarnation, Events: s.cache.after(after, time.Now())}
	s.mu.Unlock()
	writeJSON(c, batch)
}

func (s *Server) order(_ context.Context, c *app.RequestContext) {
	var o api.Order
	if err := json.Unmarshal(c.Request.Body(), &o); err != nil {
		refuse(c, consts.StatusBadRequest, err.Error())
		return
	}
	s.mu.Lock()
	delay, incarnation := s.faults.DelayOrders, s.incarnation
	s.mu.Unlock()
	s.sleep(delay)
	s.mu.Lock()
	if incarnation != s.incarnation {
		s.mu.Unlock()
		return
	}
	if reason := s.acceptOrder(o); reason != "" {
		s.mu.Unlock()
		refuse(c, consts.StatusConflict, reason)
		return
	}
	drop := consumeFault(&s.faults.DropReplies)
	s.mu.Unlock()
	reply := s.executeOrder(o, incarnation)
	if drop {
		_ = c.GetConn().Close()
		return
	}
	writeJSON(c, reply)
}

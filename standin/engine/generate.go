package engine

import (
	"context"
	"encoding/json"
	"strconv"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/protocol/consts"
	"github.com/cloudwego/hertz/pkg/protocol/sse"

	api "github.com/auburnbend/auburnbend/lib/engine"
)

// keepAliveInterval is the interval between keep-alive comments while a stream has no
// new frames.
const keepAliveInterval = time.Second

func (s *Server) generate(_ context.Context, c *app.RequestContext) {
	var req api.Request
	if err := json.Unmarshal(c.Request.Body(), &req); err != nil {
		refuse(c, consts.StatusBadRequest, err.Error())
		return
	}
	st, start, status, reason := s.enqueueOrResume(req)
	if status != 0 {
		if status == consts.StatusServiceUnavailable {
			c.Response.Header.Set("Retry-After", "1")
		}
		refuse(c, status, reason)
		return
	}
	w := sse.NewWriter(c)
	defer func() { _ = w.Close() }()
	if writeEvent(w, "", api.EventStart, start) == nil {
		s.writeFrames(w, st, int(req.Offset))
	}
}

// enqueueOrResume enqueues a new request or finds the stream of a resumed one. A status
// other than 0 means that the request is rejected for the reason.
func (s *Server) enqueueOrResume(req api.Request) (st *stream, start api.StreamStart, status int, reason string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.cfg.IgnoreWeights && req.Weights != s.weights {
		return nil, start, consts.StatusConflict, api.RefusalWeights
	}
	start = api.StreamStart{Request: req.ID, Stream: req.Stream, Weights: s.weights}
	st, ok := s.streams[req.Stream]
	if req.Resume {
		if !ok || req.Offset > uint64(len(st.frames)) {
			return nil, start, consts.StatusNotFound, api.RefusalStream
		}
		return st, start, 0, ""
	}
	if ok {
		return nil, start, consts.StatusConflict, "stream exists"
	}
	if len(s.waiting) >= s.cfg.MaxQueue {
		return nil, start, consts.StatusServiceUnavailable, "queue full"
	}
	s.arrivals++
	st = newStream(req, s.arrivals, time.Now())
	s.streams[req.Stream] = st
	s.waiting = append(s.waiting, st)
	return st, start, 0, ""
}

// writeFrames writes the frames of a stream from the offset next as they are produced.
// If the client disconnects, the stream continues.
func (s *Server) writeFrames(w *sse.Writer, st *stream, next int) {
	for {
		s.mu.Lock()
		frames, end, abort, changed := st.frames, st.end, st.abort, st.changed
		s.mu.Unlock()
		for ; next < len(frames); next++ {
			f := api.Frame{Offset: uint64(next), Data: frames[next]}
			if writeEvent(w, strconv.Itoa(next), api.EventToken, f) != nil {
				return
			}
		}
		if end != nil {
			_ = writeEvent(w, "", api.EventEnd, end)
			return
		}
		if abort != nil {
			_ = writeEvent(w, "", api.EventError, abort)
			return
		}
		if !s.waitForChange(w, changed) {
			return
		}
	}
}

// waitForChange waits until the stream changes or a keep-alive comment was sent. It
// returns false if the client has disconnected or the server is closed.
func (s *Server) waitForChange(w *sse.Writer, changed <-chan struct{}) bool {
	timer := time.NewTimer(keepAliveInterval)
	defer timer.Stop()
	select {
	case <-changed:
		return true
	case <-timer.C:
		return s.isStalled() || w.WriteKeepAlive() == nil
	case <-s.closed:
		return false
	}
}

func writeEvent(w *sse.Writer, id, name string, body any) error {
	data, err := json.Marshal(body)
	if err != nil {
		return err
	}
	return w.WriteEvent(id, name, data)
}

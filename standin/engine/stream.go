package engine

import (
	"time"

	"github.com/zeebo/blake3"

	api "github.com/auburnbend/auburnbend/lib/engine"
	"github.com/auburnbend/auburnbend/lib/model"
)

// stream is a request and the part of its answer that exists. The server's
// lock guards it.
type stream struct {
	req      api.Request
	order    uint64 // arrival, for requests of one priority
	arrived  time.Time
	deadline time.Time
	prefill  time.Time // until when the prompt is computed
	running  bool
	total    int
	frames   [][]byte
	end      *api.StreamEnd
	abort    *api.StreamError
	ended    time.Time
	changed  chan struct{} // closed and replaced at each change
}

func newStream(req api.Request, order uint64, now time.Time) *stream {
	s := &stream{req: req, order: order, arrived: now, total: TokenCount(req.Body), changed: make(chan struct{})}
	if req.RemainingMillis > 0 {
		s.deadline = now.Add(time.Duration(req.RemainingMillis) * time.Millisecond)
	}
	return s
}

func (s *stream) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *stream) over() bool { return s.end != nil || s.abort != nil }

// produce adds one token computed with what is loaded at this moment.
func (s *stream) produce(content model.Digest, weights model.Weights, now time.Time) {
	s.frames = append(s.frames, token(content, s.req.Body, len(s.frames)))
	if len(s.frames) >= s.total {
		hash := blake3.New()
		for _, f := range s.frames {
			_, _ = hash.Write(f)
		}
		end := &api.StreamEnd{Frames: uint64(len(s.frames)), Weights: weights}
		copy(end.Digest[:], hash.Sum(nil))
		s.end, s.ended = end, now
	}
	s.notify()
}

func (s *stream) stop(reason string, now time.Time) {
	if s.over() {
		return
	}
	s.abort, s.ended = &api.StreamError{Reason: reason, Started: s.running}, now
	s.notify()
}

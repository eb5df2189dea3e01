package engine

import (
	"time"

	"github.com/zeebo/blake3"

	api "github.com/auburnbend/auburnbend/lib/engine"
	"github.com/auburnbend/auburnbend/lib/model"
)

// stream is a request and the frames of its response that were produced so far. It is
// protected by Server.mu.
type stream struct {
	req           api.Request
	arrivalNumber uint64 // order among requests of equal priority
	arrivedAt     time.Time
	deadline      time.Time
	prefillEnd    time.Time // time at which prefill is complete
	running       bool
	totalTokens   int
	frames        [][]byte
	end           *api.StreamEnd
	abort         *api.StreamError
	endedAt       time.Time
	changed       chan struct{} // closed and replaced at each change
}

func newStream(req api.Request, arrivalNumber uint64, now time.Time) *stream {
	s := &stream{req: req, arrivalNumber: arrivalNumber, arrivedAt: now, totalTokens: TokenCount(req.Body), changed: make(chan struct{})}
	if req.RemainingMillis > 0 {
		s.deadline = now.Add(time.Duration(req.RemainingMillis) * time.Millisecond)
	}
	return s
}

func (s *stream) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *stream) finished() bool { return s.end != nil || s.abort != nil }

// appendToken adds one token, computed with the currently loaded content.
func (s *stream) appendToken(content model.Digest, weights model.Weights, now time.Time) {
	s.frames = append(s.frames, token(content, s.req.Body, len(s.frames)))
	if len(s.frames) >= s.totalTokens {
		hash := blake3.New()
		for _, f := range s.frames {
			_, _ = hash.Write(f)
		}
		end := &api.StreamEnd{Frames: uint64(len(s.frames)), Weights: weights}
		copy(end.Digest[:], hash.Sum(nil))
		s.end, s.endedAt = end, now
	}
	s.notify()
}

func (s *stream) abortWith(reason string, now time.Time) {
	if s.finished() {
		return
	}
	s.abort, s.endedAt = &api.StreamError{Reason: reason, Started: s.running}, now
	s.notify()
}

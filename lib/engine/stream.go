package engine

import (
	"context"
	"encoding/json"
	"io"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/cloudwego/hertz/pkg/protocol/sse"
	"github.com/zeebo/blake3"

	"github.com/auburnbend/auburnbend/lib/model"
)

// Stream is an answer that is being received. Next belongs to one goroutine;
// Close may be called by the same one only. The context of Generate ends it.
type Stream struct {
	request Request
	stall   time.Duration

	x      *exchange
	ctx    context.Context
	reader *sse.Reader
	stop   func() bool
	next   uint64
	hash   *blake3.Hasher
	end    *StreamEnd
}

func newStream(req Request, stall time.Duration) *Stream {
	return &Stream{request: req, stall: stall, hash: blake3.New()}
}

// Offset returns the offset of the next frame.
func (s *Stream) Offset() uint64 { return s.next }

// End returns the end of a complete answer, after Next returned io.EOF.
func (s *Stream) End() (StreamEnd, bool) {
	if s.end == nil {
		return StreamEnd{}, false
	}
	return *s.end, true
}

// attach takes over an exchange whose status was a success.
func (s *Stream) attach(ctx context.Context, x *exchange) error {
	reader, err := sse.NewReader(x.resp)
	if err != nil {
		x.close()
		return mayHaveRun(err)
	}
	reader.SetMaxBufferSize(maxEvent)
	s.x, s.ctx, s.reader = x, ctx, reader
	s.stop = context.AfterFunc(ctx, x.close)
	return s.checkStart()
}

func (s *Stream) checkStart() error {
	var start StreamStart
	name, data, err := s.event()
	if err != nil {
		return err
	}
	if name == EventError {
		return s.aborted(data)
	}
	if name != EventStart || json.Unmarshal(data, &start) != nil {
		return mayHaveRun(merry.Errorf("first event is %q", name))
	}
	if start.Stream != s.request.Stream || start.Request != s.request.ID {
		return mayHaveRun(merry.Wrap(ErrWrongRequest, merry.AppendMessagef("got stream %s, want %s", start.Stream, s.request.Stream)))
	}
	return s.checkWeights(start.Weights)
}

func (s *Stream) checkWeights(got model.Weights) error {
	if got == s.request.Weights {
		return nil
	}
	return mayHaveRun(merry.Wrap(ErrWeightsMismatch, merry.AppendMessagef("answer is of %s, request is for %s", got, s.request.Weights)))
}

// event reads one server-sent event. A stream that pauses for longer than the
// stall bound is closed, which ends the read.
func (s *Stream) event() (name string, data []byte, err error) {
	if s.x == nil {
		return "", nil, mayHaveRun(merry.Wrap(ErrIncomplete, merry.AppendMessage("stream is closed")))
	}
	timer := time.AfterFunc(s.stall, s.x.close)
	defer timer.Stop()
	e := sse.NewEvent()
	defer e.Release()
	if err := s.reader.Read(e); err != nil {
		if ctxErr := s.ctx.Err(); ctxErr != nil {
			err = ctxErr
		}
		return "", nil, mayHaveRun(because(ErrIncomplete, err))
	}
	return e.Type, append([]byte(nil), e.Data...), nil
}

// Next returns the next frame. It returns io.EOF after a complete answer whose
// frame count, digest and weights match; any other error means that the answer
// is incomplete and must not be closed as a success.
func (s *Stream) Next() (Frame, error) {
	if s.end != nil {
		return Frame{}, io.EOF
	}
	name, data, err := s.event()
	if err != nil {
		return Frame{}, err
	}
	switch name {
	case EventToken:
		return s.frame(data)
	case EventEnd:
		return Frame{}, s.finish(data)
	case EventError:
		return Frame{}, s.aborted(data)
	default:
		return Frame{}, mayHaveRun(merry.Wrap(ErrIncomplete, merry.AppendMessagef("unknown event %q", name)))
	}
}

func (s *Stream) frame(data []byte) (Frame, error) {
	var f Frame
	if err := json.Unmarshal(data, &f); err != nil {
		return Frame{}, mayHaveRun(because(ErrIncomplete, err))
	}
	if f.Offset != s.next {
		return Frame{}, mayHaveRun(merry.Wrap(ErrIncomplete, merry.AppendMessagef("frame %d follows frame %d", f.Offset, s.next)))
	}
	s.next++
	_, _ = s.hash.Write(f.Data)
	return f, nil
}

func (s *Stream) finish(data []byte) error {
	var end StreamEnd
	if err := json.Unmarshal(data, &end); err != nil {
		return mayHaveRun(because(ErrIncomplete, err))
	}
	var digest model.Digest
	copy(digest[:], s.hash.Sum(nil))
	if end.Frames != s.next || end.Digest != digest {
		return mayHaveRun(merry.Wrap(ErrIncomplete, merry.AppendMessagef("received %d frames of %d, digest %s of %s", s.next, end.Frames, digest.Short(), end.Digest.Short())))
	}
	if err := s.checkWeights(end.Weights); err != nil {
		return err
	}
	s.end = &end
	return io.EOF
}

// aborted reports an error event. It proves that nothing ran only when the
// engine says so and no frame was received.
func (s *Stream) aborted(data []byte) error {
	var a StreamError
	if err := json.Unmarshal(data, &a); err != nil {
		return mayHaveRun(because(ErrIncomplete, err))
	}
	err := &RefusedError{Reason: a.Reason}
	if !a.Started && s.next == 0 && !s.request.Resume {
		return notStarted(err)
	}
	return mayHaveRun(err)
}

// Close ends the connection. The engine goes on until Cancel or the end of the
// answer, so that the stream can be resumed.
func (s *Stream) Close() {
	if s.x == nil {
		return
	}
	s.stop()
	s.x.close()
	s.x = nil
}

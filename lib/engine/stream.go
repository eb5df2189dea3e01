package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/cloudwego/hertz/pkg/protocol"
	"github.com/cloudwego/hertz/pkg/protocol/sse"
	"github.com/zeebo/blake3"

	"github.com/auburnbend/auburnbend/lib/memory"
	"github.com/auburnbend/auburnbend/lib/model"
)

// Stream is a response that is being received. Its methods must be called from one
// goroutine only. It is closed when the context of Generate or Resume ends.
type Stream struct {
	request      Request
	stallTimeout time.Duration
	// events may be nil. room is that of a long event, which the reader keeps a buffer for.
	events *memory.Budget
	room   *memory.Reservation

	exchange         *exchange
	ctx              context.Context
	reader           *sse.Reader
	body             *boundedBody
	stopContextWatch func() bool
	nextOffset       uint64
	hash             *blake3.Hasher
	end              *StreamEnd
}

func newStream(req Request, stallTimeout time.Duration, events *memory.Budget) *Stream {
	return &Stream{request: req, stallTimeout: stallTimeout, events: events, hash: blake3.New()}
}

// Offset returns the offset of the next frame to receive.
func (s *Stream) Offset() uint64 { return s.nextOffset }

// End returns the end event of a complete response. It returns false until Next has
// returned io.EOF.
func (s *Stream) End() (StreamEnd, bool) {
	if s.end == nil {
		return StreamEnd{}, false
	}
	return *s.end, true
}

// attach starts reading the body of a successful exchange.
func (s *Stream) attach(ctx context.Context, x *exchange) error {
	body := &boundedBody{source: x.resp.BodyStream()}
	if !x.resp.IsBodyStream() {
		body.source = bytes.NewReader(x.resp.Body())
	}
	bounded := &protocol.Response{}
	bounded.Header.SetContentTypeBytes(x.resp.Header.ContentType())
	bounded.SetBodyStream(body, -1)
	reader, err := sse.NewReader(bounded)
	if err != nil {
		x.close()
		return mayHaveRun(err)
	}
	reader.SetMaxBufferSize(maxEventBytes)
	s.exchange, s.ctx, s.reader, s.body = x, ctx, reader, body
	s.stopContextWatch = context.AfterFunc(ctx, x.close)
	err = s.readStart()
	if err != nil {
		s.releaseRoom()
	}
	return err
}

func (s *Stream) readStart() error {
	var start StreamStart
	name, data, err := s.readEvent()
	if err != nil {
		return err
	}
	if name == EventError {
		return s.streamError(data)
	}
	if name != EventStart || json.Unmarshal(data, &start) != nil {
		return mayHaveRun(merry.Errorf("first event is %q, want \"start\"", name))
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
	return mayHaveRun(merry.Wrap(ErrWeightsMismatch, merry.AppendMessagef("response is from %s, request is for %s", got, s.request.Weights)))
}

// readEvent reads one server-sent event. If the stream pauses for longer than the
// stall timeout, the connection is closed, which ends the read.
func (s *Stream) readEvent() (name string, data []byte, err error) {
	if s.exchange == nil {
		return "", nil, mayHaveRun(merry.Wrap(ErrIncomplete, merry.AppendMessage("stream is closed")))
	}
	timer := time.AfterFunc(s.stallTimeout, s.exchange.close)
	defer timer.Stop()
	// The reader limits each line only.
	s.body.remaining = maxEventBytes
	if s.events != nil && s.room == nil {
		s.body.free, s.body.grow = freeEventBytes, s.acquireRoom
	}
	e := sse.NewEvent()
	defer e.Release()
	if err := s.reader.Read(e); err != nil {
		switch ctxErr := s.ctx.Err(); {
		case ctxErr != nil:
			err = ctxErr
		case errors.Is(err, io.EOF):
			// Only the end event ends a response. The error must not match io.EOF, which Next
			// returns for that.
			err = io.ErrUnexpectedEOF
		}
		return "", nil, mayHaveRun(wrapCause(ErrIncomplete, err))
	}
	return e.Type, append([]byte(nil), e.Data...), nil
}

// acquireRoom waits for room for the longest event, at most as long as a stream may pause.
func (s *Stream) acquireRoom() (err error) {
	ctx, cancel := context.WithTimeout(s.ctx, s.stallTimeout)
	defer cancel()
	s.room, err = s.events.Acquire(ctx, s.request.Stream, maxEventBytes)
	return err
}

// releaseRoom returns the room. Further calls do nothing.
func (s *Stream) releaseRoom() {
	s.room.Release()
	s.room = nil
}

// Next returns the next frame. It returns io.EOF after a complete response whose
// frame count, digest and weights match. Any other error means that the response is
// incomplete and must not be reported as a success.
func (s *Stream) Next() (Frame, error) {
	if s.end != nil {
		return Frame{}, io.EOF
	}
	name, data, err := s.readEvent()
	if err != nil {
		return Frame{}, err
	}
	switch name {
	case EventToken:
		return s.acceptFrame(data)
	case EventEnd:
		return Frame{}, s.acceptEnd(data)
	case EventError:
		return Frame{}, s.streamError(data)
	default:
		return Frame{}, mayHaveRun(merry.Wrap(ErrIncomplete, merry.AppendMessagef("unknown event %q", name)))
	}
}

func (s *Stream) acceptFrame(data []byte) (Frame, error) {
	var f Frame
	if err := json.Unmarshal(data, &f); err != nil {
		return Frame{}, mayHaveRun(wrapCause(ErrIncomplete, err))
	}
	if f.Offset != s.nextOffset {
		return Frame{}, mayHaveRun(merry.Wrap(ErrIncomplete, merry.AppendMessagef("got frame %d, want frame %d", f.Offset, s.nextOffset)))
	}
	s.nextOffset++
	_, _ = s.hash.Write(f.Data)
	return f, nil
}

func (s *Stream) acceptEnd(data []byte) error {
	var end StreamEnd
	if err := json.Unmarshal(data, &end); err != nil {
		return mayHaveRun(wrapCause(ErrIncomplete, err))
	}
	var digest model.Digest
	copy(digest[:], s.hash.Sum(nil))
	if end.Frames != s.nextOffset || end.Digest != digest {
		return mayHaveRun(merry.Wrap(ErrIncomplete, merry.AppendMessagef("received %d of %d frames, digest of their data is %s, want %s", s.nextOffset, end.Frames, digest.Short(), end.Digest.Short())))
	}
	if err := s.checkWeights(end.Weights); err != nil {
		return err
	}
	s.end = &end
	return io.EOF
}

// streamError converts an error event to an error. The event proves that the request
// did not run only if the engine says so and no frame was received.
func (s *Stream) streamError(data []byte) error {
	var event StreamError
	if err := json.Unmarshal(data, &event); err != nil {
		return mayHaveRun(wrapCause(ErrIncomplete, err))
	}
	err := &RefusedError{Reason: event.Reason}
	if !event.Started && s.nextOffset == 0 && !s.request.Resume {
		return notStarted(err)
	}
	return mayHaveRun(err)
}

// Close closes the connection. The engine continues until Cancel or the end of the
// response, so that the stream can be resumed.
func (s *Stream) Close() {
	s.releaseRoom()
	if s.exchange == nil {
		return
	}
	s.stopContextWatch()
	s.exchange.close()
	s.exchange = nil
}

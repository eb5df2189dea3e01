package gate

import (
	"context"
	"errors"
	"net/http"
	"slices"

	"github.com/auburnbend/auburnbend/lib/outcome"
	"github.com/auburnbend/auburnbend/lib/wire"
)

func (s *Gate) start(c Sender, m *wire.RequestStart) wire.Message {
	s.mu.Lock()
	defer s.mu.Unlock()
	a := s.core.Admit(s.clock.Now(), m)
	switch a.Decision {
	case Refuse:
		return a.Refusal
	case Ignore:
		return nil
	}
	ctx, cancel := context.WithCancel(context.Background())
	r := newRunner(m.Attempt, c, cancel)
	s.runners[m.Attempt] = r
	if _, connected := s.conns[c]; !connected {
		s.detach(r)
	}
	go s.run(ctx, r, *m)
	go s.write(r)
	return nil
}

// run holds the attempt on the backend server. The attempt counts as running
// until Run has returned, even when it was cancelled long before.
func (s *Gate) run(ctx context.Context, r *runner, start wire.RequestStart) {
	defer r.cancel()
	status, contentType, err := s.backend.Run(ctx, start, func(data []byte) error { return s.emit(ctx, r, data) })
	s.mu.Lock()
	defer s.mu.Unlock()
	o, reason := judge(status, err)
	if o == outcome.NotRun && s.core.HasFrames(r.attempt) {
		o, reason = outcome.Unknown, outcome.ReasonIncomplete
	}
	s.core.End(s.clock.Now(), r.attempt, o, reason, status, contentType)
	signal(r.wake)
	s.notifyIdle()
	s.sweep()
}

// judge says what a return of the backend means.
func judge(status int, err error) (outcome.Outcome, outcome.Reason) {
	switch {
	case err == nil && status < http.StatusBadRequest:
		return outcome.Completed, outcome.ReasonNone
	case err == nil:
		return outcome.Failed, outcome.ReasonBackendError
	case errors.Is(err, ErrNotStarted):
		return outcome.NotRun, outcome.ReasonNoBackendServer
	case errors.Is(err, ErrBackendCrashed):
		return outcome.Unknown, outcome.ReasonBackendCrashed
	case errors.Is(err, context.Canceled):
		return outcome.Unknown, outcome.ReasonCanceled
	default:
		return outcome.Unknown, outcome.ReasonBackendError
	}
}

// emit adds data to the answer and waits while the entry does not keep up.
func (s *Gate) emit(ctx context.Context, r *runner, data []byte) error {
	for piece := range slices.Chunk(data, maxFrameData) {
		piece = slices.Clone(piece)
		for !s.tryEmit(r, piece) {
			select {
			case <-r.space:
			case <-ctx.Done():
				return ctx.Err()
			}
		}
	}
	return nil
}

func (s *Gate) tryEmit(r *runner, piece []byte) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.core.AppendFrame(s.clock.Now(), r.attempt, piece) {
		return false
	}
	signal(r.wake)
	return true
}

// write sends the answer from the cursor on until the record is gone. It is the
// only sender of the attempt's frames, so they leave in order.
func (s *Gate) write(r *runner) {
	for {
		m, sender, epoch, gone := s.nextMessage(r)
		switch {
		case gone:
			return
		case m == nil:
			<-r.wake
			continue
		}
		err := sender.Send(m)
		s.sent(r, epoch, m, err)
	}
}

func (s *Gate) nextMessage(r *runner) (m wire.Message, sender Sender, epoch uint64, gone bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.runners[r.attempt] != r {
		return nil, nil, 0, true
	}
	if r.sender == nil || r.cursor > s.core.FrameCount(r.attempt) {
		return nil, nil, 0, false
	}
	return s.core.MessageAt(r.attempt, r.cursor), r.sender, r.epoch, false
}

func (s *Gate) sent(r *runner, epoch uint64, m wire.Message, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if r.epoch != epoch {
		return
	}
	if err != nil {
		s.detach(r)
		return
	}
	r.cursor++
	if _, end := m.(*wire.ResponseEnd); end {
		r.cursor = s.core.FrameCount(r.attempt) + 1
	}
}

// detach records that nobody takes the answer; s.mu is held.
func (s *Gate) detach(r *runner) {
	r.sender = nil
	r.epoch++
	s.core.Detach(s.clock.Now(), r.attempt)
}

func (s *Gate) reattach(c Sender, m *wire.Reattach) wire.Message {
	s.mu.Lock()
	defer s.mu.Unlock()
	if reply := s.core.Reattach(s.clock.Now(), m); reply != nil {
		return reply
	}
	r := s.runners[m.Attempt]
	r.sender, r.cursor = c, m.NextSequence
	r.epoch++
	if _, connected := s.conns[c]; !connected {
		s.detach(r)
	}
	signal(r.wake)
	return nil
}

func (s *Gate) ack(m *wire.ResponseAck) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.core.Ack(m.Attempt, m.NextSequence)
	if r, ok := s.runners[m.Attempt]; ok {
		signal(r.space)
	}
	s.sweep()
}

func (s *Gate) cancel(m *wire.RequestCancel) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.core.Cancel(s.clock.Now(), m.Attempt) {
		if r, ok := s.runners[m.Attempt]; ok {
			r.cancel()
		}
	}
	s.sweep()
}

// sweep ends the writers of attempts whose record is gone, and reports an empty
// gate; s.mu is held.
func (s *Gate) sweep() {
	for id, r := range s.runners {
		if !s.core.HasRecord(id) {
			delete(s.runners, id)
			signal(r.wake)
		}
	}
	if s.core.Draining() && s.core.Empty() && !s.emptyClosed {
		s.emptyClosed = true
		close(s.empty)
	}
}

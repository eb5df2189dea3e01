package transfer

import (
	"context"

	"github.com/ansel1/merry/v2"

	"github.com/auburnbend/auburnbend/lib/model"
	"github.com/auburnbend/auburnbend/lib/wire"
)

// ErrNoTracker means that no tracker is reachable to give a load permit.
var ErrNoTracker = merry.New("no tracker is reachable")

// permitRequest waits for the tracker's answer.
type permitRequest struct {
	manifest model.Digest
	answer   chan permitAnswer
}

type permitAnswer struct {
	permit wire.LoadPermit
	err    error
}

// RequestPermit asks the tracker whether this instance may leave the version that it
// serves to load another. Without a tracker it returns ErrNoTracker: the
// instance stays on its version, since nobody knows how many others have left.
func (s *Service) RequestPermit(ctx context.Context, manifest model.Digest) (wire.LoadPermit, error) {
	request := permitRequest{manifest: manifest, answer: make(chan permitAnswer, 1)}
	select {
	case s.permits <- request:
	case <-ctx.Done():
		return wire.LoadPermit{}, ctx.Err()
	}
	select {
	case a := <-request.answer:
		return a.permit, a.err
	case <-ctx.Done():
		return wire.LoadPermit{}, ctx.Err()
	}
}

// askPermit sends a request to the tracker. A newer request replaces one that
// has no answer yet: its tracker may be gone.
func (r *runner) askPermit(request permitRequest) {
	r.answerPermit(permitAnswer{err: ErrNoTracker})
	if r.conn == nil || r.conn.TrySend(&wire.LoadPermitFetch{Manifest: request.manifest}) != nil {
		request.answer <- permitAnswer{err: ErrNoTracker}
		return
	}
	r.permit = &request
}

func (r *runner) answerPermit(a permitAnswer) {
	if r.permit != nil {
		r.permit.answer <- a
		r.permit = nil
	}
}

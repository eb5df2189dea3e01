package transfer

import (
	"context"

	"github.com/ansel1/merry/v2"

	"github.com/auburnbend/auburnbend/lib/model"
	"github.com/auburnbend/auburnbend/lib/wire"
)

// ErrNoTracker is returned if no tracker is reachable to grant a load permit.
var ErrNoTracker = merry.New("no tracker reachable")

// permitRequest is a request for a load permit. reply is buffered.
type permitRequest struct {
	manifest model.Digest
	reply    chan permitReply
}

type permitReply struct {
	permit wire.LoadPermit
	err    error
}

// RequestPermit asks the tracker for permission to stop serving the current
// version in order to load another. It returns ErrNoTracker if no tracker is
// reachable; the instance must then keep its version, because the number of
// other instances that have stopped is unknown.
func (s *Service) RequestPermit(ctx context.Context, manifest model.Digest) (wire.LoadPermit, error) {
	request := permitRequest{manifest: manifest, reply: make(chan permitReply, 1)}
	select {
	case s.permitRequests <- request:
	case <-ctx.Done():
		return wire.LoadPermit{}, ctx.Err()
	}
	select {
	case res := <-request.reply:
		return res.permit, res.err
	case <-ctx.Done():
		return wire.LoadPermit{}, ctx.Err()
	}
}

// requestPermit sends a request to the tracker. It fails an earlier request
// that has no reply yet, because the tracker may be gone.
func (r *runner) requestPermit(request permitRequest) {
	r.replyToPermitRequest(permitReply{err: ErrNoTracker})
	if r.conn == nil || r.conn.TrySend(&wire.LoadPermitFetch{Manifest: request.manifest}) != nil {
		request.reply <- permitReply{err: ErrNoTracker}
		return
	}
	r.pendingPermit = &request
}

// replyToPermitRequest replies to the pending request, if any.
func (r *runner) replyToPermitRequest(reply permitReply) {
	if r.pendingPermit != nil {
		r.pendingPermit.reply <- reply
		r.pendingPermit = nil
	}
}

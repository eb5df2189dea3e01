package gateway

import (
	"errors"
	"io"
	"net/http"
	"os"
	"time"

	"github.com/auburnbend/auburnbend/lib/memory"
)

// maxBodyBytes returns the limit of the request's body.
func (r *request) maxBodyBytes() int64 {
	if r.table != nil && r.table.Config().Limits.MaxBodyBytes > 0 {
		return int64(r.table.Config().Limits.MaxBodyBytes)
	}
	return defaultMaxBodyBytes
}

// readBody reads the body. If it returns false, it has sent the refusal.
func (r *request) readBody() bool {
	if r.http.ContentLength > r.maxBodyBytes() {
		r.refuse(http.StatusRequestEntityTooLarge, outcomeInvalid, "body too long", 0)
		return false
	}
	err := r.receiveBody(func(body io.Reader) (err error) {
		r.body, err = r.readInRoom(body)
		return err
	})
	var tooLong *http.MaxBytesError
	switch {
	case errors.Is(err, errDrainEnded):
		r.refuseStopping()
		return false
	case errors.Is(err, memory.ErrExhausted):
		r.refuseBeyondMemory()
		return false
	case errors.Is(err, errBodyTooSlow):
		r.refuse(http.StatusRequestTimeout, outcomeRefused, errBodyTooSlow.Error(), 0)
		return false
	case errors.Is(err, os.ErrDeadlineExceeded):
		r.refuse(http.StatusRequestTimeout, outcomeRefused, "body not received in time", 0)
		return false
	case errors.As(err, &tooLong):
		r.refuse(http.StatusRequestEntityTooLarge, outcomeInvalid, "body too long", 0)
		return false
	case err != nil:
		r.refuse(http.StatusBadRequest, outcomeInvalid, "incomplete body", 0)
		return false
	}
	return true
}

// bodyDeadline is the deadline of the request, or after the caller's own timeout or
// defaultTimeout if it has none yet.
func (r *request) bodyDeadline() time.Time {
	switch {
	case !r.deadline.IsZero():
		return r.deadline
	case r.info.Timeout > 0:
		return r.arrived.Add(r.info.Timeout)
	default:
		return r.arrived.Add(defaultTimeout)
	}
}

// receiveBody calls read with the body. Reads fail at bodyDeadline and at the end of the
// drain.
func (r *request) receiveBody(read func(io.Reader) error) error {
	if r.http.ContentLength == 0 {
		return nil
	}
	control := http.NewResponseController(r.writer)
	if err := control.SetReadDeadline(r.bodyDeadline()); err != nil && !errors.Is(err, http.ErrNotSupported) {
		return err
	}
	interrupted := r.interruptBody(control)
	err := read(http.MaxBytesReader(r.writer, r.http.Body, r.maxBodyBytes()))
	if interrupted() {
		return errDrainEnded
	}
	if err != nil {
		return err
	}
	if err := control.SetReadDeadline(time.Time{}); err != nil && !errors.Is(err, http.ErrNotSupported) {
		return err
	}
	return nil
}

// refuseUnread refuses a request whose body has not been read, and reads it first. net/http
// reads 256 KiB at most of what is left of a body, and resets a connection on which more
// comes: a caller that reads its answer after it has sent the whole request would never get
// the refusal.
func (r *request) refuseUnread(status int, o outcome, reason string, retryAfter time.Duration) {
	r.discardBody()
	r.refuse(status, o, reason, retryAfter)
}

// discardBody reads the body and drops it. If that fails, the request is refused all the
// same.
func (r *request) discardBody() {
	if r.http.ContentLength > r.maxBodyBytes() {
		return
	}
	err := r.receiveBody(func(body io.Reader) error {
		_, err := io.Copy(io.Discard, body)
		return err
	})
	if err != nil {
		// net/http tries to read the rest before it sends the refusal.
		r.limitDiscard()
	}
}

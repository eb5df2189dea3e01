package engine

import (
	"context"
	"encoding/json"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/cloudwego/hertz/pkg/protocol/consts"
)

// maxControl bounds the answers to reads of state, load and cache in bytes.
const maxControl = 16 << 20

// refusal is the body of an answer that refuses a request.
type refusal struct {
	Reason string `json:"reason"`
}

// read gets a JSON document. Reads have no effect, so every failure is
// ErrUnavailable.
func (t *transport) read(ctx context.Context, uri string, timeout time.Duration, into any) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	x := newExchange(consts.MethodGet, uri)
	if err := t.do(ctx, x, timeout); err != nil {
		return because(ErrUnavailable, err)
	}
	defer x.close()
	data, err := x.body(ctx, maxControl)
	if err != nil {
		return because(ErrUnavailable, err)
	}
	if status := x.resp.StatusCode(); status != consts.StatusOK {
		return merry.Wrap(ErrUnavailable, merry.AppendMessagef("status %d", status), merry.WithHTTPCode(status))
	}
	if err := json.Unmarshal(data, into); err != nil {
		return because(ErrUnavailable, err)
	}
	return nil
}

// post starts an exchange with a JSON body on a connection of its own.
func post(uri string, body any) (*exchange, error) {
	data, err := json.Marshal(body)
	if err != nil {
		return nil, notStarted(err)
	}
	x := newExchange(consts.MethodPost, uri)
	x.req.SetBodyRaw(data)
	x.req.Header.SetContentTypeBytes([]byte(consts.MIMEApplicationJSON))
	x.req.SetConnectionClose()
	return x, nil
}

// refused reads the refusal out of a response that is not a success.
func (x *exchange) refused(ctx context.Context) *RefusedError {
	e := &RefusedError{Status: x.resp.StatusCode(), RetryAfter: x.retryAfter()}
	var r refusal
	if data, err := x.body(ctx, maxControl); err == nil && json.Unmarshal(data, &r) == nil {
		e.Reason = r.Reason
	}
	return e
}

// refusesBeforeStart reports whether a status proves that the engine did not
// start the request. 408 and the other 5xx may come after a start.
func refusesBeforeStart(status int) bool {
	switch status {
	case consts.StatusBadRequest, consts.StatusNotFound, consts.StatusConflict,
		consts.StatusRequestEntityTooLarge, consts.StatusUnprocessableEntity,
		consts.StatusTooManyRequests, consts.StatusServiceUnavailable:
		return true
	default:
		return false
	}
}

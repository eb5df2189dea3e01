package engine

import (
	"context"
	"encoding/json"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/cloudwego/hertz/pkg/protocol/consts"
)

// maxControlBytes limits the responses to reads of state, load and cache, and the
// bodies of refusals.
const maxControlBytes = 16 << 20

// refusalBody is the body of a response that refuses a request or an order.
type refusalBody struct {
	Reason string `json:"reason"`
}

// read gets a JSON document. Reads have no side effects, so every failure is
// reported as ErrUnavailable.
func (t *transport) read(ctx context.Context, uri string, timeout time.Duration, into any) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	x := newExchange(consts.MethodGet, uri)
	if err := t.do(ctx, x, timeout); err != nil {
		return wrapCause(ErrUnavailable, err)
	}
	defer x.close()
	data, err := x.body(ctx, maxControlBytes)
	if err != nil {
		return wrapCause(ErrUnavailable, err)
	}
	if status := x.resp.StatusCode(); status != consts.StatusOK {
		return merry.Wrap(ErrUnavailable, merry.AppendMessagef("status %d", status), merry.WithHTTPCode(status))
	}
	if err := json.Unmarshal(data, into); err != nil {
		return wrapCause(ErrUnavailable, err)
	}
	return nil
}

// post prepares a POST request with a JSON body.
func post(uri string, body any) (*exchange, error) {
	data, err := json.Marshal(body)
	if err != nil {
		return nil, notStarted(err)
	}
	x := newExchange(consts.MethodPost, uri)
	x.req.SetBodyRaw(data)
	x.req.Header.SetContentTypeBytes([]byte(consts.MIMEApplicationJSON))
	return x, nil
}

// refusal converts an unsuccessful response to a RefusedError.
func (x *exchange) refusal(ctx context.Context) *RefusedError {
	e := &RefusedError{Status: x.resp.StatusCode(), RetryAfter: x.retryAfter()}
	var r refusalBody
	if data, err := x.body(ctx, maxControlBytes); err == nil && json.Unmarshal(data, &r) == nil {
		e.Reason = r.Reason
	}
	return e
}

// provesNotStarted reports whether a status proves that the engine did not start
// the request. Status 408 and other 5xx codes may be returned after the start.
func provesNotStarted(status int) bool {
	switch status {
	case consts.StatusBadRequest, consts.StatusNotFound, consts.StatusConflict,
		consts.StatusRequestEntityTooLarge, consts.StatusUnprocessableEntity,
		consts.StatusTooManyRequests, consts.StatusServiceUnavailable:
		return true
	default:
		return false
	}
}

package upstream

import (
	"bytes"
	"io"
	"net/http"
	"sync/atomic"
)

// readStep is the number of bytes for which memory is taken at a time.
const readStep = 16 << 10

// BodyBudget bounds the memory of the bodies that are read whole, of all requests
// together. It is safe for concurrent use.
type BodyBudget struct {
	limit int64
	used  atomic.Int64
}

// NewBodyBudget returns a BodyMemory of so many bytes.
func NewBodyBudget(limit int64) *BodyBudget { return &BodyBudget{limit: limit} }

// ReadAll reads a body of at most limit bytes. A body that does not end as its
// head announced is an error. The memory is given back by release.
func (m *BodyBudget) ReadAll(resp *http.Response, limit int) (body []byte, release func(), err error) {
	taken := int64(0)
	giveBack := func() { m.used.Add(-taken) }
	defer func() {
		if err != nil {
			giveBack()
		}
	}()
	var b bytes.Buffer
	for {
		if b.Len() > limit {
			return nil, nil, errBodyTooLong
		}
		taken += readStep
		if m.used.Add(readStep) > m.limit {
			return nil, nil, errNoBodyMemory
		}
		switch _, err := io.CopyN(&b, resp.Body, readStep); err {
		case nil:
		case io.EOF:
			return b.Bytes(), giveBack, nil
		default:
			return nil, nil, err
		}
	}
}

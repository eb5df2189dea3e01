package upstream

import (
	"bytes"
	"io"
	"net/http"
	"sync/atomic"
)

// readChunkBytes is the unit in which a body is read and memory reserved.
const readChunkBytes = 16 << 10

// BodyBudget bounds the memory of all buffered response bodies together. It is safe
// for concurrent use.
type BodyBudget struct {
	limit int64
	used  atomic.Int64
}

// NewBodyBudget returns a BodyBudget with a limit in bytes.
func NewBodyBudget(limit int64) *BodyBudget { return &BodyBudget{limit: limit} }

// ReadAll reads a whole body of at most about limit bytes. It fails if it is longer,
// if the memory of all bodies together exceeds the budget, or if the body is
// truncated. The caller calls release when it no longer needs the body; it is nil
// after an error.
func (b *BodyBudget) ReadAll(resp *http.Response, limit int) (body []byte, release func(), err error) {
	reserved := int64(0)
	releaseReserved := func() { b.used.Add(-reserved) }
	defer func() {
		if err != nil {
			releaseReserved()
		}
	}()
	var buf bytes.Buffer
	for {
		if buf.Len() > limit {
			return nil, nil, errBodyTooLong
		}
		reserved += readChunkBytes
		if b.used.Add(readChunkBytes) > b.limit {
			return nil, nil, errBudgetExhausted
		}
		switch _, err := io.CopyN(&buf, resp.Body, readChunkBytes); err {
		case nil:
		case io.EOF:
			return buf.Bytes(), releaseReserved, nil
		default:
			return nil, nil, err
		}
	}
}

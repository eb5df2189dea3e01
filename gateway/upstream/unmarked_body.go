package upstream

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
)

// unmarkedBody is the body of a response without a length and without chunks. It ends with
// its connection, so that only the way in which that ends tells whether the body is whole.
type unmarkedBody struct {
	io.ReadCloser
	exchange *Exchange
	// err is the result of the end; nil before it.
	err error
}

// isUnmarked reports whether only the end of the connection ends the body of a response.
func isUnmarked(resp *http.Response) bool {
	return resp.Body != http.NoBody && resp.ContentLength < 0 && len(resp.TransferEncoding) == 0
}

// Read implements io.Reader. It returns io.EOF only if the server has taken the whole request
// and closed the connection in order.
func (b *unmarkedBody) Read(p []byte) (int, error) {
	if b.err != nil {
		return 0, b.err
	}
	n, err := b.ReadCloser.Read(p)
	if !errors.Is(err, io.EOF) {
		return n, err
	}
	b.err = io.EOF
	if failure := b.exchange.awaitTaken(context.Background()); failure != nil {
		b.err = fmt.Errorf("response without a length: %w", failure)
	}
	return n, b.err
}

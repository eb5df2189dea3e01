package upstream

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net/http"
	"strings"
)

// ErrInvalidFraming means that a server has responded with framing that its version of HTTP
// does not have. The request may have run.
var ErrInvalidFraming = errors.New("response of HTTP/1.0 has a transfer coding")

const (
	oldVersion     = "HTTP/1.0"
	currentVersion = "HTTP/1.1"
)

// readResponse reads the head of the next response, of which line is the beginning. The HTTP
// library ignores transfer codings in responses of HTTP/1.0, so that the sizes of chunks would
// become a part of the body. Such framing is faulty (RFC 9112, section 6.1). To learn of it,
// the head is read as one of HTTP/1.1.
func (x *Exchange) readResponse(line []byte, req *http.Request) (*http.Response, error) {
	if !bytes.HasPrefix(line, []byte(oldVersion+" ")) {
		return http.ReadResponse(x.reader, req)
	}
	if _, err := x.reader.Discard(len(oldVersion)); err != nil {
		return nil, err
	}
	x.reader = bufio.NewReaderSize(io.MultiReader(strings.NewReader(currentVersion), x.reader), readBufferBytes)
	resp, err := http.ReadResponse(x.reader, req)
	if err != nil {
		return nil, err
	}
	if len(resp.TransferEncoding) > 0 {
		return nil, ErrInvalidFraming
	}
	resp.Proto, resp.ProtoMinor, resp.Close = oldVersion, 0, true
	return resp, nil
}

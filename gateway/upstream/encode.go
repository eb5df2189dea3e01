package upstream

import (
	"bytes"
	"errors"
	"strconv"
)

var (
	errTooManyInterim = errors.New("too many interim responses")
	errHeadTooLong    = errors.New("response head is too long")
	errBodyTooLong    = errors.New("response body is too long")
)

// encodeHead returns the head of the request as HTTP/1.1, with the length of its body.
func (r *Request) encodeHead() []byte {
	var b bytes.Buffer
	b.Grow(512)
	b.WriteString(r.Method)
	b.WriteByte(' ')
	b.WriteString(r.Target)
	b.WriteString(" HTTP/1.1\r\nHost: ")
	b.WriteString(r.Host)
	b.WriteString("\r\n")
	// Writes to a bytes.Buffer do not fail.
	_ = r.Header.Write(&b)
	if len(r.Body) > 0 || r.Method != "GET" && r.Method != "HEAD" {
		b.WriteString("Content-Length: ")
		b.WriteString(strconv.Itoa(len(r.Body)))
		b.WriteString("\r\n")
	}
	b.WriteString("\r\n")
	return b.Bytes()
}

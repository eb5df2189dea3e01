package upstream

import (
	"bytes"
	"errors"
	"strconv"
)

var (
	errInterim      = errors.New("too many interim answers")
	errHeadTooLong  = errors.New("head of the answer is too long")
	errBodyTooLong  = errors.New("answer is too long")
	errNoBodyMemory = errors.New("too many long answers at the same time")
)

// encode returns the request as it is sent, with the length of its body.
func (r *Request) encode() []byte {
	var b bytes.Buffer
	b.Grow(512 + len(r.Body))
	b.WriteString(r.Method)
	b.WriteByte(' ')
	b.WriteString(r.Target)
	b.WriteString(" HTTP/1.1\r\nHost: ")
	b.WriteString(r.Host)
	b.WriteString("\r\n")
	// A write to a bytes.Buffer does not fail.
	_ = r.Header.Write(&b)
	if len(r.Body) > 0 || r.Method != "GET" && r.Method != "HEAD" {
		b.WriteString("Content-Length: ")
		b.WriteString(strconv.Itoa(len(r.Body)))
		b.WriteString("\r\n")
	}
	b.WriteString("\r\n")
	b.Write(r.Body)
	return b.Bytes()
}

package upstream

import (
	"errors"
	"net/http"
)

// statusLineBytes is the length of a status line up to the byte after its status.
const statusLineBytes = len("HTTP/1.1 200 ")

// ErrInvalidStatus means that a server has responded without a valid status. The request may have
// run.
var ErrInvalidStatus = errors.New("response has no valid status")

// checkStatus decides whether a status line, of which the first statusLineBytes are given, has
// a status that a server may send, and whether it is that of an interim response. Valid are 200
// to 599, and as interim ones 100, 102 and 103. A request never asks for 101. The line is checked
// as it was sent, since the HTTP library accepts signs and further spaces.
func checkStatus(line []byte) (interim bool, err error) {
	const first = len("HTTP/1.1 ")
	if len(line) < statusLineBytes || line[first-1] != ' ' {
		return false, ErrInvalidStatus
	}
	status := 0
	for _, digit := range line[first : first+3] {
		if digit < '0' || digit > '9' {
			return false, ErrInvalidStatus
		}
		status = 10*status + int(digit-'0')
	}
	if end := line[first+3]; end != ' ' && end != '\r' && end != '\n' {
		return false, ErrInvalidStatus
	}
	switch {
	case status == http.StatusContinue, status == http.StatusProcessing, status == http.StatusEarlyHints:
		return true, nil
	case status >= 200 && status <= 599:
		return false, nil
	default:
		return false, ErrInvalidStatus
	}
}

package engine

import (
	"net/http"

	"github.com/ansel1/merry/v2"
)

// statusLineBytes is the length of a status line up to the byte after its status.
const statusLineBytes = len("HTTP/1.1 200 ")

// errInvalidStatus means that a response has no valid status. The request may have run.
var errInvalidStatus = merry.Wrap(ErrIncomplete, merry.AppendMessage("response has no valid status"))

// checkStatus decides whether a status line, of which the first statusLineBytes are given, has
// a status that a backend server may send, and returns it. Valid are 200 to 599, and as interim
// ones 100, 102 and 103. A request never asks for 101. The line is checked as it was sent: the
// HTTP client reports a status of zero as 200, and accepts any number of digits.
func checkStatus(line []byte) (int, error) {
	const first = len("HTTP/1.1 ")
	if len(line) < statusLineBytes || line[first-1] != ' ' {
		return 0, errInvalidStatus
	}
	status := 0
	for _, digit := range line[first : first+3] {
		if digit < '0' || digit > '9' {
			return 0, errInvalidStatus
		}
		status = 10*status + int(digit-'0')
	}
	if end := line[first+3]; end != ' ' && end != '\r' && end != '\n' {
		return 0, errInvalidStatus
	}
	switch {
	case status == http.StatusContinue, status == http.StatusProcessing, status == http.StatusEarlyHints, status >= 200 && status <= 599:
		return status, nil
	default:
		return 0, errInvalidStatus
	}
}

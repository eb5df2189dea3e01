package headlimit

import "bytes"

// scanner counts the bytes and lines of the head of a request as they arrive. HTTP
// libraries limit only the bytes of a head, and one of short fields takes twenty times its size.
type scanner struct {
	// inHead is set while the head of a request is being read.
	inHead       bool
	bytes, lines int
	// lineBytes is the length of the current line, of any part of a request, without CR.
	lineBytes int
}

// begin expects the head of the next request. A part of it may have been read already: the
// library reads ahead.
func (s *scanner) begin() { s.inHead, s.bytes, s.lines = true, 0, 0 }

// scan records data that was read.
func (s *scanner) scan(data []byte) {
	for s.inHead && len(data) > 0 {
		end := bytes.IndexByte(data, '\n')
		if end < 0 {
			s.bytes += len(data)
			s.lineBytes += lengthWithoutCR(data)
			return
		}
		s.bytes += end + 1
		empty := s.lineBytes+lengthWithoutCR(data[:end]) == 0
		data, s.lineBytes = data[end+1:], 0
		switch {
		case !empty:
			s.lines++
		case s.lines > 0:
			s.inHead = false
		}
	}
	if last := bytes.LastIndexByte(data, '\n'); last >= 0 {
		data, s.lineBytes = data[last+1:], 0
	}
	s.lineBytes += lengthWithoutCR(data)
}

func lengthWithoutCR(data []byte) int { return len(data) - bytes.Count(data, []byte{'\r'}) }

package sse

import "bytes"

// scanner finds the end of the first event of a buffer. Lines end with a line feed, a
// carriage return or both. Its state covers the bytes that were searched before, so
// that a long event is searched only once.
type scanner struct {
	// next is the position of the first byte that was not searched.
	next int
	// lineStart is the position of the line that next is in.
	lineStart int
	// bareReturn is set if the previous line ended with a carriage return only, returnFeed if
	// it ended with a carriage return and a line feed.
	bareReturn, returnFeed bool
}

// eventLength returns the length of the first event in b, or 0 if it is incomplete. A
// blank line ends an event; one at the beginning of b is an event of its own. b must
// begin with the bytes of the previous call. final is set if no more bytes follow.
func (s *scanner) eventLength(b []byte, final bool) int {
	for {
		n := bytes.IndexAny(b[s.next:], "\r\n")
		if n < 0 {
			s.next = len(b)
			return 0
		}
		s.next += n
		blank, end := s.next == s.lineStart, s.next+1
		if b[s.next] == '\r' {
			switch {
			case end < len(b):
				if b[end] == '\n' {
					end++
				}
			case !blank, s.next > 0 && !s.bareReturn && (!final || s.returnFeed):
				// A line feed may follow. After lines that end with a carriage return only, none
				// is awaited: it could take as long as the next event. After lines that end with
				// both, a stream without it has been broken off.
				return 0
			}
		}
		if blank {
			return end
		}
		s.bareReturn, s.returnFeed = b[end-1] == '\r', end-s.next == 2
		s.next, s.lineStart = end, end
	}
}

package jsonparts

// splitter reads values from the start of data, which it shortens.
type splitter struct{ data []byte }

func (s *splitter) skipSpace() {
	for len(s.data) > 0 && isSpace(s.data[0]) {
		s.data = s.data[1:]
	}
}

func (s *splitter) atEnd() bool {
	s.skipSpace()
	return len(s.data) == 0
}

// consume skips c and reports whether it came next.
func (s *splitter) consume(c byte) bool {
	s.skipSpace()
	if len(s.data) == 0 || s.data[0] != c {
		return false
	}
	s.data = s.data[1:]
	return true
}

// value returns the next value. It reports false if there is none or it has no end.
func (s *splitter) value() ([]byte, bool) {
	s.skipSpace()
	n := valueLength(s.data)
	if n == 0 {
		return nil, false
	}
	value := s.data[:n:n]
	s.data = s.data[n:]
	return value, true
}

// valueLength returns the length of the value at the start of data, or 0 if there is
// none or it has no end.
func valueLength(data []byte) int {
	depth := 0
	for i := 0; i < len(data); {
		switch c := data[i]; {
		case c == '"':
			n := stringLength(data[i:])
			if n == 0 {
				return 0
			}
			i += n
		case c == '{' || c == '[':
			depth++
			i++
		case c == '}' || c == ']':
			if depth == 0 {
				return 0
			}
			depth--
			i++
		case depth > 0:
			i++
			continue
		default:
			return scalarLength(data)
		}
		if depth == 0 {
			return i
		}
	}
	return 0
}

// stringLength returns the length of the string at the start of data with its quotes,
// or 0 if it has no end.
func stringLength(data []byte) int {
	for i := 1; i < len(data); i++ {
		switch data[i] {
		case '\\':
			i++
		case '"':
			return i + 1
		}
	}
	return 0
}

// scalarLength returns the length of a number or literal at the start of data.
func scalarLength(data []byte) int {
	for i, c := range data {
		if isSpace(c) || c == ',' || c == ':' || c == '"' || c == '[' || c == ']' || c == '{' || c == '}' {
			return i
		}
	}
	return len(data)
}

func isSpace(c byte) bool { return c == ' ' || c == '\t' || c == '\n' || c == '\r' }

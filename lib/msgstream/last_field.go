package msgstream

// LastField finds the binary value of the last field of a message of total bytes, of which
// data is the beginning. The message is a map with key as its last key. header is the offset
// of the value's own header, offset that of its data, which extends to the end of the
// message. It returns false if data does not reach that far or the message differs from this.
func LastField(data []byte, total int, key string) (header, offset int, ok bool) {
	if len(data) == 0 || data[0] < fixMap || data[0] >= negative || data[0] >= fixArray && data[0] < map16 {
		return 0, 0, false
	}
	pos, items := parseHeader(data)
	if pos < 0 || items < 2 {
		return 0, 0, false
	}
	for range items - 2 {
		size, ok := valueEnd(data[min(pos, len(data)):])
		if !ok {
			return 0, 0, false
		}
		pos += size
	}
	size, ok := valueEnd(data[pos:])
	if !ok || size != 1+len(key) || data[pos] != byte(fixString+len(key)) || string(data[pos+1:pos+size]) != key {
		return 0, 0, false
	}
	pos += size
	if pos >= len(data) || data[pos] < bin8 || data[pos] >= ext8 {
		return 0, 0, false
	}
	width := 1 << (data[pos] - bin8)
	length, ok := readLength(data[pos:], width)
	if offset = pos + 1 + width; !ok || length != total-offset {
		return 0, 0, false
	}
	return pos, offset, true
}

// valueEnd returns the size of the first value in bytes, with all of its items. It returns
// false if data does not contain all of it.
func valueEnd(data []byte) (size int, ok bool) {
	for missing := 1; missing > 0; missing-- {
		n, items := parseHeader(data[size:])
		if n < 0 || n > len(data)-size || items > len(data) {
			return 0, false
		}
		size += n
		missing += items
	}
	return size, true
}

package msgstream

import (
	"encoding/binary"
	"errors"

	"github.com/ansel1/merry/v2"
	"github.com/vmihailenco/msgpack/v5"
)

// ErrMalformed reports bytes that are no message.
var ErrMalformed = errors.New("malformed message")

// maxDepth bounds the nesting of a message.
const maxDepth = 32

// Unmarshal decodes one message that was read whole. The library allocates what a
// message announces, and follows any nesting, before it looks whether that much is
// there, so that a few bytes could exhaust the memory; what they announce is
// checked first.
func Unmarshal(data []byte, into any) error {
	if !sound(data) {
		return merry.Wrap(ErrMalformed)
	}
	if err := msgpack.Unmarshal(data, into); err != nil {
		return merry.Wrap(ErrMalformed, merry.WithCause(err))
	}
	return nil
}

// sound reports whether the lengths in a message fit into it. What follows the
// message is ignored, as the library does.
func sound(data []byte) bool {
	// open counts the values that are missing of each array or map around.
	open := make([]int, 0, maxDepth)
	for {
		size, items := header(data)
		if size < 0 || size > len(data) || items > len(data)-size {
			return false
		}
		data = data[size:]
		if items > 0 {
			if len(open) == maxDepth {
				return false
			}
			open = append(open, items)
			continue
		}
		for len(open) > 0 {
			last := len(open) - 1
			open[last]--
			if open[last] > 0 {
				break
			}
			open = open[:last]
		}
		if len(open) == 0 {
			return true
		}
	}
}

// First bytes of values, as the msgpack specification lists them.
const (
	fixMap, fixArray, fixString, nilValue = 0x80, 0x90, 0xa0, 0xc0
	bin8, ext8, float32Value, uint8Value  = 0xc4, 0xc7, 0xca, 0xcc
	int8Value, fixExt1, string8, array16  = 0xd0, 0xd4, 0xd9, 0xdc
	map16, negative, reserved             = 0xde, 0xe0, 0xc1
)

// header returns the size of a value in bytes without its items, and the number
// of items that follow; a negative size if the bytes are none.
func header(data []byte) (size, items int) {
	if len(data) == 0 {
		return noValue, 0
	}
	c := int(data[0])
	switch {
	case c < fixMap || c >= negative:
		return 1, 0
	case c < fixArray:
		return 1, 2 * (c - fixMap)
	case c < fixString:
		return 1, c - fixArray
	case c < nilValue:
		return 1 + c - fixString, 0
	case c == reserved:
		return noValue, 0
	case c < bin8:
		return 1, 0
	case c < ext8:
		return counted(data, 1<<(c-bin8)), 0
	case c < float32Value:
		return 1 + counted(data, 1<<(c-ext8)), 0
	case c < uint8Value:
		return 1 + 4<<(c-float32Value), 0
	case c < int8Value:
		return 1 + 1<<(c-uint8Value), 0
	case c < fixExt1:
		return 1 + 1<<(c-int8Value), 0
	case c < string8:
		return 2 + 1<<(c-fixExt1), 0
	case c < array16:
		return counted(data, 1<<(c-string8)), 0
	case c < map16:
		return listed(data, 2<<(c-array16), 1)
	default:
		return listed(data, 2<<(c-map16), 2)
	}
}

// counted returns the size of a value that announces its bytes in width ones.
func counted(data []byte, width int) int {
	if n, ok := number(data, width); ok {
		return 1 + width + n
	}
	return noValue
}

// listed is the header of a value that announces entries of so many items.
func listed(data []byte, width, items int) (size, count int) {
	if n, ok := number(data, width); ok {
		return 1 + width, items * n
	}
	return noValue, 0
}

// noValue is the size of bytes that are no value.
const noValue = -2

// number reads the count after the first byte.
func number(data []byte, width int) (int, bool) {
	if len(data) < 1+width {
		return 0, false
	}
	var wide [8]byte
	copy(wide[8-width:], data[1:1+width])
	return int(binary.BigEndian.Uint64(wide[:])), true
}

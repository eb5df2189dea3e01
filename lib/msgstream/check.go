package msgstream

import (
	"encoding/binary"
	"errors"

	"github.com/ansel1/merry/v2"
	"github.com/vmihailenco/msgpack/v5"
)

// ErrMalformed means that the data is not a valid message.
var ErrMalformed = errors.New("malformed message")

// maxDepth limits the nesting of arrays and maps in a message.
const maxDepth = 32

// Unmarshal decodes one complete message. It validates all declared lengths and the
// nesting first: the msgpack library allocates declared lengths and follows any nesting
// before it checks that the data is present, so a few bytes could exhaust the memory.
// Errors wrap ErrMalformed.
func Unmarshal(data []byte, into any) error {
	if !lengthsFit(data) {
		return merry.Wrap(ErrMalformed)
	}
	if err := msgpack.Unmarshal(data, into); err != nil {
		return merry.Wrap(ErrMalformed, merry.WithCause(err))
	}
	return nil
}

// lengthsFit reports whether the declared lengths of a message fit into data and its
// nesting is at most maxDepth. Data after the message is ignored, as in the library.
func lengthsFit(data []byte) bool {
	// missing contains the number of items still to come of each enclosing array or
	// map.
	missing := make([]int, 0, maxDepth)
	for {
		size, items := parseHeader(data)
		if size < 0 || size > len(data) || items > len(data)-size {
			return false
		}
		data = data[size:]
		if items > 0 {
			if len(missing) == maxDepth {
				return false
			}
			missing = append(missing, items)
			continue
		}
		for len(missing) > 0 {
			last := len(missing) - 1
			missing[last]--
			if missing[last] > 0 {
				break
			}
			missing = missing[:last]
		}
		if len(missing) == 0 {
			return true
		}
	}
}

// First bytes of value formats, from the msgpack specification.
const (
	fixMap, fixArray, fixString, nilValue = 0x80, 0x90, 0xa0, 0xc0
	bin8, ext8, float32Value, uint8Value  = 0xc4, 0xc7, 0xca, 0xcc
	int8Value, fixExt1, string8, array16  = 0xd0, 0xd4, 0xd9, 0xdc
	map16, negative, reserved             = 0xde, 0xe0, 0xc1
)

// parseHeader returns the size of the first value in bytes, without the items of an
// array or map, and the number of those items. It returns invalidSize if the data does
// not start with a valid value.
func parseHeader(data []byte) (size, items int) {
	if len(data) == 0 {
		return invalidSize, 0
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
		return invalidSize, 0
	case c < bin8:
		return 1, 0
	case c < ext8:
		return valueSize(data, 1<<(c-bin8)), 0
	case c < float32Value:
		return 1 + valueSize(data, 1<<(c-ext8)), 0
	case c < uint8Value:
		return 1 + 4<<(c-float32Value), 0
	case c < int8Value:
		return 1 + 1<<(c-uint8Value), 0
	case c < fixExt1:
		return 1 + 1<<(c-int8Value), 0
	case c < string8:
		return 2 + 1<<(c-fixExt1), 0
	case c < array16:
		return valueSize(data, 1<<(c-string8)), 0
	case c < map16:
		return itemCount(data, 2<<(c-array16), 1)
	default:
		return itemCount(data, 2<<(c-map16), 2)
	}
}

// valueSize returns the size of a string, binary or extension value whose length field
// has the given width in bytes.
func valueSize(data []byte, width int) int {
	if n, ok := readLength(data, width); ok {
		return 1 + width + n
	}
	return invalidSize
}

// itemCount returns the header size and the item count of an array or map whose length
// field has the given width in bytes. items is the number of items per entry.
func itemCount(data []byte, width, items int) (size, count int) {
	if n, ok := readLength(data, width); ok {
		return 1 + width, items * n
	}
	return invalidSize, 0
}

// invalidSize marks data that is not a valid value. It is -2 because parseHeader adds 1
// for the type byte of an extension.
const invalidSize = -2

// readLength reads the length field after the first byte. It returns false if the data
// is too short.
func readLength(data []byte, width int) (int, bool) {
	if len(data) < 1+width {
		return 0, false
	}
	var wide [8]byte
	copy(wide[8-width:], data[1:1+width])
	return int(binary.BigEndian.Uint64(wide[:])), true
}

package config

import (
	"strconv"
	"strings"

	"github.com/ansel1/merry/v2"
)

// byteUnit is a size suffix accepted in the declaration file.
type byteUnit struct {
	suffix string
	bytes  int64
}

// byteUnits lists the units from largest to smallest. The last one, plain bytes,
// has no suffix and therefore matches any text.
var byteUnits = []byteUnit{
	{"TiB", 1 << 40},
	{"GiB", 1 << 30},
	{"MiB", 1 << 20},
	{"KiB", 1 << 10},
	{"", 1},
}

// bytesAllowed describes valid sizes in violations.
const bytesAllowed = "a whole number of bytes, or with KiB, MiB, GiB or TiB"

// formatBytes formats n in the largest unit that divides it exactly.
func formatBytes(n int64) string {
	for _, u := range byteUnits {
		if n != 0 && n%u.bytes == 0 {
			return strconv.FormatInt(n/u.bytes, 10) + u.suffix
		}
	}
	return "0"
}

// parseBytes parses a size and returns it in bytes.
func parseBytes(text string) (int64, error) {
	for _, u := range byteUnits {
		number, ok := strings.CutSuffix(text, u.suffix)
		if !ok {
			continue
		}
		n, err := strconv.ParseInt(strings.TrimSpace(number), 10, 64)
		if err != nil {
			return 0, merry.Wrap(err)
		}
		if n > (1<<62)/u.bytes || n < -(1<<62)/u.bytes {
			return 0, merry.Errorf("size %q is out of range", text)
		}
		return n * u.bytes, nil
	}
	return 0, merry.Errorf("%q is not a size", text)
}

// ParseBytes parses a size in the syntax of the declaration file, such as 4MiB,
// and returns it in bytes.
func ParseBytes(text string) (int64, error) { return parseBytes(text) }

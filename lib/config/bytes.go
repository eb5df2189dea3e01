package config

import (
	"strconv"
	"strings"

	"github.com/ansel1/merry/v2"
)

// byteUnit is a unit of sizes in the declaration file.
type byteUnit struct {
	suffix string
	bytes  int64
}

// byteUnits are in descending order; the last has no suffix.
var byteUnits = []byteUnit{
	{"TiB", 1 << 40},
	{"GiB", 1 << 30},
	{"MiB", 1 << 20},
	{"KiB", 1 << 10},
	{"", 1},
}

const bytesAllowed = "a whole number of bytes, or with KiB, MiB, GiB or TiB"

// formatBytes uses the largest unit that is exact.
func formatBytes(n int64) string {
	for _, u := range byteUnits {
		if n != 0 && n%u.bytes == 0 {
			return strconv.FormatInt(n/u.bytes, 10) + u.suffix
		}
	}
	return "0"
}

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
			return 0, merry.Errorf("%s is out of range", text)
		}
		return n * u.bytes, nil
	}
	return 0, merry.Errorf("%s is not a size", text)
}

// ParseBytes reads a size as the declaration file has it, such as 4MiB.
func ParseBytes(text string) (int64, error) { return parseBytes(text) }

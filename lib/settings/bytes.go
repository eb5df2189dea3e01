package settings

import (
	"math"
	"strconv"
	"strings"

	"github.com/ansel1/merry/v2"
)

// Bytes is a size in bytes, written with a binary unit such as 64MiB.
type Bytes int64

// Sizes of the units that ParseBytes accepts.
const (
	KiB Bytes = 1 << 10
	MiB Bytes = 1 << 20
	GiB Bytes = 1 << 30
	TiB Bytes = 1 << 40
)

var byteUnits = []unit{{"KiB", int64(KiB)}, {"MiB", int64(MiB)}, {"GiB", int64(GiB)}, {"TiB", int64(TiB)}, {"B", 1}}

// ParseBytes reads a size. The unit is required: a bare number is refused
// because its unit could only be guessed.
func ParseBytes(s string) (Bytes, error) {
	n, err := parseUnit(s, byteUnits, "a size such as 512B, 64KiB, 64MiB, 2GiB or 1TiB")
	return Bytes(n), err
}

// String returns the size with the largest unit that divides it.
func (b Bytes) String() string { return formatUnit(int64(b), byteUnits, "B") }

// unit is a suffix and the number of base units that it stands for.
type unit struct {
	suffix string
	factor int64
}

func parseUnit(s string, units []unit, allowed string) (int64, error) {
	for _, u := range units {
		digits, ok := strings.CutSuffix(s, u.suffix)
		if !ok {
			continue
		}
		n, err := strconv.ParseInt(strings.TrimSpace(digits), 10, 64)
		if err != nil || n < 0 || n > math.MaxInt64/u.factor {
			break
		}
		return n * u.factor, nil
	}
	return 0, merry.Errorf("%q is not %s", s, allowed)
}

func formatUnit(n int64, units []unit, base string) string {
	best := unit{base, 1}
	for _, u := range units {
		if u.factor > best.factor && n >= u.factor && n%u.factor == 0 {
			best = u
		}
	}
	return strconv.FormatInt(n/best.factor, 10) + best.suffix
}

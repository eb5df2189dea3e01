package settings

import (
	"math"
	"strconv"
	"strings"

	"github.com/ansel1/merry/v2"
)

// Bytes is a size in bytes, written with a binary unit such as 64MiB.
type Bytes int64

// Units that ParseBytes accepts, besides B.
const (
	KiB Bytes = 1 << 10
	MiB Bytes = 1 << 20
	GiB Bytes = 1 << 30
	TiB Bytes = 1 << 40
)

var byteUnits = []unit{{"KiB", int64(KiB)}, {"MiB", int64(MiB)}, {"GiB", int64(GiB)}, {"TiB", int64(TiB)}, {"B", 1}}

// ParseBytes parses a size with a unit. It rejects a number without a unit, because
// the unit could only be guessed.
func ParseBytes(s string) (Bytes, error) {
	n, err := parseUnit(s, byteUnits, "a size such as 512B, 64KiB, 64MiB, 2GiB or 1TiB")
	return Bytes(n), err
}

// String formats the size in the largest unit that divides it.
func (b Bytes) String() string { return formatUnit(int64(b), byteUnits, "B") }

// unit is the suffix of a unit and its factor to the base unit.
type unit struct {
	suffix string
	factor int64
}

// parseUnit parses a non-negative whole number followed by one of the units, and
// returns it in the base unit. Allowed describes the valid values in the error.
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

// formatUnit formats n in the largest unit that divides it, or in the base unit.
func formatUnit(n int64, units []unit, base string) string {
	best := unit{base, 1}
	for _, u := range units {
		if u.factor > best.factor && n >= u.factor && n%u.factor == 0 {
			best = u
		}
	}
	return strconv.FormatInt(n/best.factor, 10) + best.suffix
}

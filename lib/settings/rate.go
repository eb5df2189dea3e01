package settings

// Rate is a link rate in bits per second, written as 20Mbit/s.
type Rate int64

// Units that ParseRate accepts.
const (
	Kbit Rate = 1_000
	Mbit Rate = 1_000_000
	Gbit Rate = 1_000_000_000
)

var rateUnits = []unit{{"kbit/s", int64(Kbit)}, {"Mbit/s", int64(Mbit)}, {"Gbit/s", int64(Gbit)}}

// ParseRate parses a rate with a unit.
func ParseRate(s string) (Rate, error) {
	n, err := parseUnit(s, rateUnits, "a rate such as 800kbit/s, 20Mbit/s or 10Gbit/s")
	return Rate(n), err
}

// String formats the rate in the largest unit that divides it.
func (r Rate) String() string { return formatUnit(int64(r), rateUnits, "bit/s") }

// BytesPerSecond returns the rate in bytes per second.
func (r Rate) BytesPerSecond() float64 { return float64(r) / 8 }

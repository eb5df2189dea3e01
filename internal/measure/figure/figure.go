// Package figure prints measured figures as JSON lines and keeps track of those
// outside their bounds.
package figure

import (
	"encoding/json"
	"io"
	"strings"

	"github.com/ansel1/merry/v2"
)

// Bound is the range that a target allows for a figure. Both limits are
// inclusive.
type Bound struct {
	Max *float64 `json:"max,omitempty"`
	Min *float64 `json:"min,omitempty"`
}

// AtMost returns a Bound with the upper limit v.
func AtMost(v float64) *Bound { return &Bound{Max: &v} }

// AtLeast returns a Bound with the lower limit v.
func AtLeast(v float64) *Bound { return &Bound{Min: &v} }

// Figure is one measured value.
type Figure struct {
	Name  string  `json:"name"`
	Value float64 `json:"value"`
	Unit  string  `json:"unit"`
	// Bound is nil for a figure without a target.
	Bound *Bound `json:"bound"`
	// Baseline is the same figure for the baseline method, or nil.
	Baseline *float64 `json:"baseline"`
}

// WithinBound reports whether the value is within its bound, if it has one.
func (f Figure) WithinBound() bool {
	if f.Bound == nil {
		return true
	}
	return (f.Bound.Max == nil || f.Value <= *f.Bound.Max) && (f.Bound.Min == nil || f.Value >= *f.Bound.Min)
}

// Printer writes figures as JSON lines. It is not safe for concurrent use.
type Printer struct {
	out         io.Writer
	outOfBounds []string // names
}

// NewPrinter returns a Printer that writes to out.
func NewPrinter(out io.Writer) *Printer { return &Printer{out: out} }

// Print writes one figure as a line. A figure out of bounds is not an error here
// but in Err.
func (p *Printer) Print(f Figure) error {
	if !f.WithinBound() {
		p.outOfBounds = append(p.outOfBounds, f.Name)
	}
	return merry.Wrap(json.NewEncoder(p.out).Encode(f))
}

// Err returns an error that names the printed figures out of bounds, or nil if
// there are none.
func (p *Printer) Err() error {
	if len(p.outOfBounds) == 0 {
		return nil
	}
	return merry.Errorf("figures out of bounds: %s", strings.Join(p.outOfBounds, ", "))
}

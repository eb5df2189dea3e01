// Package figure prints measured figures, one JSON object a line, and remembers
// which of them miss their bound.
package figure

import (
	"encoding/json"
	"io"
	"strings"

	"github.com/ansel1/merry/v2"
)

// Bound limits a figure. It comes from the stated target.
type Bound struct {
	Max *float64 `json:"max,omitempty"`
	Min *float64 `json:"min,omitempty"`
}

// AtMost returns an upper bound.
func AtMost(v float64) *Bound { return &Bound{Max: &v} }

// AtLeast returns a lower bound.
func AtLeast(v float64) *Bound { return &Bound{Min: &v} }

// Figure is one measured value.
type Figure struct {
	Name  string  `json:"name"`
	Value float64 `json:"value"`
	Unit  string  `json:"unit"`
	// Bound is null for a figure that is only reported.
	Bound *Bound `json:"bound"`
	// Baseline is the same figure of the compared method, or null.
	Baseline *float64 `json:"baseline"`
}

// WithinBound reports whether the value keeps its bound.
func (f Figure) WithinBound() bool {
	if f.Bound == nil {
		return true
	}
	return (f.Bound.Max == nil || f.Value <= *f.Bound.Max) && (f.Bound.Min == nil || f.Value >= *f.Bound.Min)
}

// Printer writes figures. It is not safe for concurrent use.
type Printer struct {
	out         io.Writer
	outOfBounds []string
}

// NewPrinter returns a Printer that writes to out.
func NewPrinter(out io.Writer) *Printer { return &Printer{out: out} }

// Print writes one figure as a line.
func (p *Printer) Print(f Figure) error {
	if !f.WithinBound() {
		p.outOfBounds = append(p.outOfBounds, f.Name)
	}
	return merry.Wrap(json.NewEncoder(p.out).Encode(f))
}

// Err returns an error that names the figures that missed their bounds, or nil.
func (p *Printer) Err() error {
	if len(p.outOfBounds) == 0 {
		return nil
	}
	return merry.Errorf("figures out of bounds: %s", strings.Join(p.outOfBounds, ", "))
}

package fleet

import (
	"encoding/json"
	"io"
)

// Bound is the stated target of a figure.
type Bound struct {
	Max *float64 `json:"max,omitempty"`
	Min *float64 `json:"min,omitempty"`
}

// AtMost is an upper bound.
func AtMost(v float64) *Bound { return &Bound{Max: &v} }

// AtLeast is a lower bound.
func AtLeast(v float64) *Bound { return &Bound{Min: &v} }

// Figure is one measured figure.
type Figure struct {
	Name     string   `json:"name"`
	Value    float64  `json:"value"`
	Unit     string   `json:"unit"`
	Bound    *Bound   `json:"bound"`
	Baseline *float64 `json:"baseline"`
}

// Against sets the baseline of a figure.
func (f Figure) Against(baseline float64) Figure {
	f.Baseline = &baseline
	return f
}

// Print writes one JSON line per figure.
func Print(w io.Writer, figures ...Figure) error {
	encoder := json.NewEncoder(w)
	for _, f := range figures {
		if err := encoder.Encode(f); err != nil {
			return err
		}
	}
	return nil
}

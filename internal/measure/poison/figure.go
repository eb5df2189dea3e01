package poison

import (
	"encoding/json"
	"io"

	"github.com/ansel1/merry/v2"
)

// bound is the stated target of a figure.
type bound struct {
	Max *float64 `json:"max,omitempty"`
}

// figure is one measured value.
type figure struct {
	Name     string   `json:"name"`
	Value    float64  `json:"value"`
	Unit     string   `json:"unit"`
	Bound    *bound   `json:"bound"`
	Baseline *float64 `json:"baseline"`
}

// printFigures prints one JSON object per line. It returns an error that names
// a figure that is out of its bound.
func printFigures(w io.Writer, figures []figure) error {
	encoder := json.NewEncoder(w)
	var missed error
	for _, f := range figures {
		if err := encoder.Encode(f); err != nil {
			return merry.Wrap(err)
		}
		if f.Bound != nil && f.Value > *f.Bound.Max {
			missed = merry.Errorf("figure %s is out of its bound", f.Name)
		}
	}
	return missed
}

func figures(ours, plain Total) []figure {
	atMost := func(v float64) *bound { return &bound{Max: &v} }
	base := func(v float64) *float64 { return &v }
	return []figure{
		{"poison_backend_servers_lost_max", float64(ours.MaxLost), "backend servers", atMost(boundLost), base(float64(plain.MaxLost))},
		{"poison_backend_servers_lost_mean", ours.mean(ours.Lost), "backend servers", nil, base(plain.mean(plain.Lost))},
		{"poison_innocents_quarantined", float64(ours.Quarantined), "requests", atMost(0), base(float64(plain.Quarantined))},
		{"poison_innocents_answered", ours.answered(), "share", nil, base(plain.answered())},
		{"poison_innocent_delay_max", ours.MaxDelay.Seconds(), "s", nil, base(plain.MaxDelay.Seconds())},
	}
}

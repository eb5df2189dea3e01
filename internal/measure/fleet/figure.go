package fleet

import (
	"io"

	"github.com/auburnbend/auburnbend/internal/measure/figure"
)

// WithBaseline returns f with the given baseline.
func WithBaseline(f figure.Figure, baseline float64) figure.Figure {
	f.Baseline = &baseline
	return f
}

// PrintFigures writes the figures as JSON lines and returns an error that names
// those out of bounds.
func PrintFigures(w io.Writer, figures []figure.Figure) error {
	p := figure.NewPrinter(w)
	for _, f := range figures {
		if err := p.Print(f); err != nil {
			return err
		}
	}
	return p.Err()
}

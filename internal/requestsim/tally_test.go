package requestsim

import (
	"fmt"

	"github.com/auburnbend/auburnbend/lib/model"
	"github.com/auburnbend/auburnbend/lib/outcome"
)

type attemptID = model.AttemptID

// tally shows that the simulation reaches the cases it is for.
type tally struct {
	asks, runs, broken, open, continued int
	told                                [4]int
}

func (t *tally) add(w *world) {
	t.runs += len(w.runs)
	t.continued += w.continued
	for _, a := range w.asks {
		t.asks++
		switch {
		case a.told:
			t.told[a.outcome]++
		case a.broken:
			t.broken++
		default:
			t.open++
		}
	}
}

func (t tally) String() string {
	return fmt.Sprintf("asks %d, runs %d: completed %d, failed %d, not run %d, unknown %d, connection error %d, open %d, continued streams %d",
		t.asks, t.runs, t.told[outcome.Completed], t.told[outcome.Failed], t.told[outcome.NotRun], t.told[outcome.Unknown], t.broken, t.open, t.continued)
}

package requestsim

import (
	"fmt"

	"github.com/auburnbend/auburnbend/lib/model"
	"github.com/auburnbend/auburnbend/lib/outcome"
)

type attemptID = model.AttemptID

// stats counts the cases that the simulation reached.
type stats struct {
	submissions, runs, connectionErrors, unanswered, continuedStreams int
	byOutcome                                                         [4]int
}

func (t *stats) add(sim *simulation) {
	t.runs += len(sim.runs)
	t.continuedStreams += sim.continuedStreams
	for _, sub := range sim.submissions {
		t.submissions++
		switch {
		case sub.answered:
			t.byOutcome[sub.outcome]++
		case sub.connectionError:
			t.connectionErrors++
		default:
			t.unanswered++
		}
	}
}

func (t stats) String() string {
	return fmt.Sprintf("submissions %d, runs %d: completed %d, failed %d, not run %d, unknown %d, connection error %d, unanswered %d, continued streams %d",
		t.submissions, t.runs, t.byOutcome[outcome.Completed], t.byOutcome[outcome.Failed], t.byOutcome[outcome.NotRun], t.byOutcome[outcome.Unknown], t.connectionErrors, t.unanswered, t.continuedStreams)
}

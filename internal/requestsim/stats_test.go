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

func (s *stats) add(sim *simulation) {
	s.runs += len(sim.runs)
	s.continuedStreams += sim.continuedStreams
	for _, sub := range sim.submissions {
		s.submissions++
		switch {
		case sub.answered:
			s.byOutcome[sub.outcome]++
		case sub.connectionError:
			s.connectionErrors++
		default:
			s.unanswered++
		}
	}
}

func (s stats) String() string {
	return fmt.Sprintf("submissions %d, runs %d: completed %d, failed %d, not run %d, unknown %d, connection error %d, unanswered %d, continued streams %d",
		s.submissions, s.runs, s.byOutcome[outcome.Completed], s.byOutcome[outcome.Failed], s.byOutcome[outcome.NotRun], s.byOutcome[outcome.Unknown], s.connectionErrors, s.unanswered, s.continuedStreams)
}

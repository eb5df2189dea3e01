package demo

import (
	"sync"
	"time"

	"github.com/auburnbend/auburnbend/internal/deployment"
)

// results counts the answers that callers received. Its methods are safe for
// concurrent use.
type results struct {
	mu sync.Mutex
	// drafts and orders count answers by outcome and reason.
	drafts, orders map[string]int
	// byVersion counts correct drafts by version.
	byVersion map[string]int
	// wrongAnswers counts completed drafts that are not the complete answer of one
	// version to the request.
	wrongAnswers int
	// notRunDrafts holds the ids of drafts that were reported as not_run.
	notRunDrafts      []string
	timesToFirstToken []time.Duration
	// onlyNotRun holds, for each key, whether all answers so far were not_run.
	onlyNotRun map[string]bool
}

func newResults() *results {
	return &results{
		drafts:     make(map[string]int),
		orders:     make(map[string]int),
		byVersion:  make(map[string]int),
		onlyNotRun: make(map[string]bool),
	}
}

func (r *results) recordDraft(d *deployment.Deployment, a deployment.Answer, body []byte) {
	version, ok := d.VersionOfAnswer(a.Body, body)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.drafts[outcomeWithReason(a)]++
	switch a.Outcome {
	case "completed":
		if a.TimeToFirstEvent > 0 {
			r.timesToFirstToken = append(r.timesToFirstToken, a.TimeToFirstEvent)
		}
		if !ok {
			r.wrongAnswers++
			return
		}
		r.byVersion[version.Name]++
	case "not_run":
		r.notRunDrafts = append(r.notRunDrafts, a.RequestID)
	}
}

func (r *results) recordOrder(key string, a deployment.Answer) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.orders[outcomeWithReason(a)]++
	onlyNotRun, known := r.onlyNotRun[key]
	r.onlyNotRun[key] = a.Outcome == "not_run" && (onlyNotRun || !known)
}

// outcomeWithReason returns the outcome of an answer, followed by its reason if there
// is one.
func outcomeWithReason(a deployment.Answer) string {
	if a.Reason == "" {
		return a.Outcome
	}
	return a.Outcome + "/" + a.Reason
}

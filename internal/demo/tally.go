package demo

import (
	"sync"
	"time"

	"github.com/auburnbend/auburnbend/internal/deployment"
)

// tally counts what callers saw and checks it against what ran.
type tally struct {
	mu sync.Mutex
	// drafts and orders count requests by outcome.
	drafts, orders map[string]int
	byVersion      map[string]int
	// wrong counts completed answers that are not the whole answer of one
	// version to the request.
	wrong     int
	notRun    []string
	firstByte []time.Duration
	// orderKeys holds, for each key, whether every answer was not_run.
	orderKeys map[string]bool
}

func newTally() *tally {
	return &tally{
		drafts:    make(map[string]int),
		orders:    make(map[string]int),
		byVersion: make(map[string]int),
		orderKeys: make(map[string]bool),
	}
}

func (t *tally) draft(d *deployment.Deployment, a deployment.Answer, body []byte) {
	version, whole := d.VersionOfAnswer(a.Body, body)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.drafts[outcomeOf(a)]++
	switch a.Outcome {
	case "completed":
		if a.TimeToFirstByte > 0 {
			t.firstByte = append(t.firstByte, a.TimeToFirstByte)
		}
		if !whole {
			t.wrong++
			return
		}
		t.byVersion[version.Name]++
	case "not_run":
		t.notRun = append(t.notRun, a.RequestID)
	}
}

func (t *tally) order(key string, a deployment.Answer) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.orders[outcomeOf(a)]++
	never, known := t.orderKeys[key]
	t.orderKeys[key] = a.Outcome == "not_run" && (never || !known)
}

// outcomeOf names the outcome together with its reason.
func outcomeOf(a deployment.Answer) string {
	if a.Reason == "" {
		return a.Outcome
	}
	return a.Outcome + "/" + a.Reason
}

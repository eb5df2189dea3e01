package attempt

import (
	"bufio"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/auburnbend/auburnbend/lib/model"
	"github.com/auburnbend/auburnbend/lib/outcome"
	"github.com/auburnbend/auburnbend/lib/wire"
)

// traceEvent is one line of a recorded trace. The event of the first line is
// "request". Expect is the step that must follow.
type traceEvent struct {
	AtMillis   int64           `json:"at_ms"`
	Event      string          `json:"event"`
	Attempt    model.AttemptID `json:"attempt"`
	Reason     outcome.Reason  `json:"reason"`
	Sequence   uint64          `json:"seq"`
	Data       string          `json:"data"`
	Text       string          `json:"text"` // complete response, from which the digest of an end is computed
	Frames     uint64          `json:"frames"`
	Outcome    string          `json:"outcome"`
	Weights    string          `json:"weights"`
	Repeatable bool            `json:"repeatable"`
	Buffered   bool            `json:"buffered"`
	Continue   bool            `json:"continue"`
	Hop        int             `json:"hop"`
	DeadlineMs int64           `json:"deadline_ms"`
	Expect     traceStep       `json:"expect"`
}

type traceStep struct {
	Action         string          `json:"action"`
	Forward        bool            `json:"forward"`
	Skip           int             `json:"skip"`
	Discard        bool            `json:"discard"`
	Cancel         model.AttemptID `json:"cancel"`
	Next           uint64          `json:"next"`
	Pinned         bool            `json:"pinned"`
	Outcome        string          `json:"outcome"`
	Reason         outcome.Reason  `json:"reason"`
	OutcomePending bool            `json:"settling"`
	RetryAdvice    bool            `json:"retry_advice"`
}

func traceOf(s Step) traceStep {
	t := traceStep{
		Action: s.Action.String(), Forward: s.Forward, Skip: s.SkipBytes, Discard: s.Discard, Cancel: s.Cancel,
		Next: s.NextSequence, Pinned: s.Pinned, Reason: s.Reason, OutcomePending: s.OutcomePending, RetryAdvice: s.RetryAfter > 0,
	}
	if s.Action == ActionFinish || s.Action == ActionRecord {
		t.Outcome = s.Outcome.String()
	}
	return t
}

// Guards against changes that give the caller a different response for a
// recorded sequence of events.
var _ = Describe("Machine with recorded traces", func() {
	files, err := filepath.Glob("testdata/*.jsonl")
	if err != nil || len(files) == 0 {
		panic("no trace files in testdata")
	}
	for _, file := range files {
		It("replays "+filepath.Base(file), func() { replay(file) })
	}
})

func replay(file string) {
	f, err := os.Open(file)
	Expect(err).NotTo(HaveOccurred())
	defer f.Close()
	start := time.Unix(1_800_000_000, 0)
	var m *Machine
	lines := bufio.NewScanner(f)
	for n := 1; lines.Scan(); n++ {
		var e traceEvent
		Expect(json.Unmarshal(lines.Bytes(), &e)).To(Succeed(), "line %d", n)
		if e.Event == "request" {
			m = New(Config{}, Request{
				Repeatable: e.Repeatable, Buffered: e.Buffered, Continue: e.Continue, Hop: e.Hop,
				Deadline: start.Add(time.Duration(e.DeadlineMs) * time.Millisecond),
			}, nil)
			continue
		}
		step := report(m, start.Add(time.Duration(e.AtMillis)*time.Millisecond), e)
		if e.Expect.Action == "" {
			e.Expect.Action = "wait"
		}
		Expect(traceOf(step)).To(Equal(e.Expect), "line %d: %s", n, lines.Text())
	}
	Expect(lines.Err()).NotTo(HaveOccurred())
}

func report(m *Machine, now time.Time, e traceEvent) Step {
	switch e.Event {
	case "queued":
		return m.Queued(now)
	case "not_admitted":
		return m.NotAdmitted(now, e.Reason, 0)
	case "dispatched":
		return m.Dispatched(now, Dispatch{Attempt: e.Attempt, Weights: model.Weights{Base: model.Sum([]byte(e.Weights))}})
	case "refused":
		return m.Refused(now, e.Attempt, e.Reason, 0)
	case "frame":
		return m.Frame(now, e.Attempt, e.Sequence, []byte(e.Data))
	case "end":
		end := &wire.ResponseEnd{Attempt: e.Attempt, Frames: e.Frames, Digest: model.Sum([]byte(e.Text)), Reason: e.Reason}
		for _, o := range []outcome.Outcome{outcome.Completed, outcome.NotRun, outcome.Failed} {
			if o.String() == e.Outcome {
				end.Outcome = o
			}
		}
		return m.End(now, end)
	case "connection_lost":
		return m.ConnectionLost(now, e.Attempt)
	case "reattached":
		return m.Reattached(now, e.Attempt)
	case "reattach_failed":
		return m.ReattachFailed(now, e.Attempt)
	case "server_crashed":
		return m.ServerCrashed(now, e.Attempt)
	case "deadline":
		return m.DeadlinePassed(now)
	case "canceled":
		return m.Canceled(now)
	}
	panic(fmt.Sprintf("unknown event %q", e.Event))
}

package explain

import (
	"slices"
	"time"

	"github.com/auburnbend/auburnbend/lib/eventlog"
)

// contextWindow is the time before the start and after the end of a request in which
// other events of the processes and backend servers involved are included.
const contextWindow = 3 * time.Second

// Timeline contains the log lines about one request.
type Timeline struct {
	// Lines are the lines of the request in order of time.
	Lines []Line
	// Context are other events of the instances and backend servers involved, from
	// shortly before to shortly after the request, and earlier events that still had an
	// effect, in order of time.
	Context []Line
}

// FindRequest returns the timeline of a request. It is empty if no line contains the id.
func FindRequest(id string, lines []Line) Timeline {
	var t Timeline
	for _, l := range lines {
		if l.Get("request") == id {
			t.Lines = append(t.Lines, l)
		}
	}
	slices.SortStableFunc(t.Lines, byTime)
	if len(t.Lines) == 0 {
		return t
	}
	for _, l := range lines {
		if l.Get("request") == "" && t.related(&l) {
			t.Context = append(t.Context, l)
		}
	}
	t.addOlderEvents(lines)
	slices.SortStableFunc(t.Context, byTime)
	return t
}

func byTime(a, b Line) int { return a.Time.Compare(b.Time) }

// related reports whether a line is about an instance or backend server that the request
// involved, within contextWindow.
func (t *Timeline) related(l *Line) bool {
	first, last := &t.Lines[0], &t.Lines[len(t.Lines)-1]
	start := first.Time.Add(-first.duration("total_ms") - contextWindow)
	if l.Time.Before(start) || l.Time.After(last.Time.Add(contextWindow)) {
		return false
	}
	for i := range t.Lines {
		own := &t.Lines[i]
		if server := own.Get("server"); server != "" && server == l.Get("server") {
			return true
		}
		if own.Instance == l.Instance && l.Event != eventlog.ServerRegistered.Number && l.Event != eventlog.ServerRemoved.Number {
			return true
		}
	}
	return false
}

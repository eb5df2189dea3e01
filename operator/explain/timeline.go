package explain

import (
	"slices"
	"time"

	"github.com/auburnbend/auburnbend/lib/eventlog"
)

// around is the time before a request and after its end in which other events
// of the processes and backend servers that it met are of interest.
const around = 3 * time.Second

// Timeline is what the logs tell about one request.
type Timeline struct {
	// Lines name the request, in order of time.
	Lines []Line
	// Context are events of the same instances and backend servers around it.
	Context []Line
}

// FindRequest returns the story of a request.
func FindRequest(id string, lines []Line) Timeline {
	var s Timeline
	for _, l := range lines {
		if l.Get("request") == id {
			s.Lines = append(s.Lines, l)
		}
	}
	slices.SortStableFunc(s.Lines, byTime)
	if len(s.Lines) == 0 {
		return s
	}
	for _, l := range lines {
		if l.Get("request") == "" && s.concerns(&l) {
			s.Context = append(s.Context, l)
		}
	}
	slices.SortStableFunc(s.Context, byTime)
	return s
}

func byTime(a, b Line) int { return a.Time.Compare(b.Time) }

// concerns reports whether a line is about an instance or backend server of the
// story, at its time.
func (s *Timeline) concerns(l *Line) bool {
	first, last := &s.Lines[0], &s.Lines[len(s.Lines)-1]
	start := first.Time.Add(-first.duration("total_ms") - around)
	if l.Time.Before(start) || l.Time.After(last.Time.Add(around)) {
		return false
	}
	for i := range s.Lines {
		met := &s.Lines[i]
		if server := met.Get("server"); server != "" && server == l.Get("server") {
			return true
		}
		if met.Instance == l.Instance && l.Event != eventlog.ServerRegistered.Number && l.Event != eventlog.ServerRemoved.Number {
			return true
		}
	}
	return false
}

package explain

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/auburnbend/auburnbend/lib/eventlog"
)

// contentEvents are events of a content that crashes backend servers. They may be
// much older than a request that is refused because of them.
var contentEvents = []int{eventlog.AttemptAborted.Number, eventlog.ServerCrashed.Number, eventlog.ContentQuarantined.Number}

// stateEvents are events after which a backend server is in another state, until the
// next event of the same number.
var stateEvents = []int{eventlog.ServerDraining.Number, eventlog.ServerPaused.Number, eventlog.ServerRateLimited.Number}

// addOlderEvents adds the earlier events of the request's content, and the last
// events that changed the state of the servers that the request's entry left out.
func (t *Timeline) addOlderEvents(lines []Line) {
	end := &t.Lines[len(t.Lines)-1]
	excluded := excludedServers(end)
	states := make(map[string]Line)
	for _, l := range lines {
		if l.Time.After(end.Time) || t.contains(&l) {
			continue
		}
		content := l.Get("content")
		switch {
		case content != "" && content == end.Get("content") && slices.Contains(contentEvents, l.Event):
			t.Context = append(t.Context, l)
		case l.Instance == end.Instance && slices.Contains(stateEvents, l.Event) && slices.Contains(excluded, l.Get("server")):
			key := l.Message + l.Get("server")
			if last, ok := states[key]; !ok || last.Time.Before(l.Time) {
				states[key] = l
			}
		}
	}
	for _, l := range states {
		t.Context = append(t.Context, l)
	}
}

// contains reports whether the timeline has a line already.
func (t *Timeline) contains(l *Line) bool {
	return slices.ContainsFunc(t.Context, func(other Line) bool {
		return other.Time.Equal(l.Time) && other.Instance == l.Instance && other.Event == l.Event && slices.Equal(other.Fields, l.Fields)
	})
}

// LeftOut describes the servers that got no chance to run the request of a line, with points
// in time instead of the durations before it.
func LeftOut(l *Line) []string {
	var out []string
	for _, entry := range strings.Split(l.Get("left_out"), ", ") {
		id, state, ok := strings.Cut(entry, ": ")
		if !ok {
			continue
		}
		var ms int64
		var source string
		if n, _ := fmt.Sscanf(state, "paused for %d ms", &ms); n == 1 {
			state = "paused until " + l.Time.Add(time.Duration(ms)*time.Millisecond).Format(timeFormat)
		} else if n, _ := fmt.Sscanf(state, "leaving for %d ms (%s", &ms, &source); n == 2 {
			state = fmt.Sprintf("leaving since %s (%s", l.Time.Add(-time.Duration(ms)*time.Millisecond).Format(timeFormat), source)
		}
		out = append(out, id+": "+state)
	}
	return out
}

// timeFormat is the form in which points in time are described.
const timeFormat = "15:04:05.000"

// excludedServers returns the IDs in a field such as "i-1: leaving for 7 ms (row), i-2: paused
// for 300 ms".
func excludedServers(l *Line) []string {
	var ids []string
	for _, entry := range strings.Split(l.Get("left_out"), ", ") {
		if id, _, ok := strings.Cut(entry, ":"); ok {
			ids = append(ids, id)
		}
	}
	return ids
}

package explain

import (
	"slices"
	"strings"

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

// excludedServers returns the IDs in a field such as "i-1: leaving, i-2: paused for
// 300 ms".
func excludedServers(l *Line) []string {
	var ids []string
	for _, entry := range strings.Split(l.Get("left_out"), ", ") {
		if id, _, ok := strings.Cut(entry, ":"); ok {
			ids = append(ids, id)
		}
	}
	return ids
}

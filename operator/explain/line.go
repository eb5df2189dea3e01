// Package explain reconstructs what happened to a request from the log lines of
// several processes.
package explain

import (
	"strconv"
	"time"
)

// Line is one log line.
type Line struct {
	Time     time.Time
	Instance string
	Event    int
	Message  string
	// Fields are the other pairs of the line, in their order.
	Fields []Field
}

// Field is a key with its value.
type Field struct{ Key, Value string }

// Get returns the value of a key, or an empty string.
func (l *Line) Get(key string) string {
	for _, f := range l.Fields {
		if f.Key == key {
			return f.Value
		}
	}
	return ""
}

// duration returns a field in milliseconds as a duration; zero if it is absent.
func (l *Line) duration(key string) time.Duration {
	ms, err := strconv.ParseInt(l.Get(key), 10, 64)
	if err != nil {
		return 0
	}
	return time.Duration(ms) * time.Millisecond
}

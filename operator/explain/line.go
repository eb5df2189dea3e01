// Package explain reconstructs what happened to a request from the logs of several
// processes.
package explain

import (
	"strconv"
	"time"
)

// Line is one log line of an event.
type Line struct {
	Time     time.Time
	Instance string
	// Event is the number of the event.
	Event   int
	Message string
	// Fields are the other fields of the line in their order.
	Fields []Field
}

// Field is a key and its value.
type Field struct{ Key, Value string }

// Get returns the value of a field, or an empty string if the line has no such field.
func (l *Line) Get(key string) string {
	for _, f := range l.Fields {
		if f.Key == key {
			return f.Value
		}
	}
	return ""
}

// duration returns the value of a field in milliseconds, or zero if the field is missing
// or not a number.
func (l *Line) duration(key string) time.Duration {
	ms, err := strconv.ParseInt(l.Get(key), 10, 64)
	if err != nil {
		return 0
	}
	return time.Duration(ms) * time.Millisecond
}

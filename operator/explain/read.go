package explain

import (
	"io"
	"strconv"
	"time"

	"github.com/go-logfmt/logfmt"
)

// Read returns the event lines of a log. Other text is passed over: log files
// often begin or end within a line.
func Read(r io.Reader) ([]Line, error) {
	var lines []Line
	d := logfmt.NewDecoder(r)
	for d.ScanRecord() {
		line := Line{}
		for d.ScanKeyval() {
			line.take(string(d.Key()), string(d.Value()))
		}
		if line.Event != 0 && !line.At.IsZero() {
			lines = append(lines, line)
		}
	}
	return lines, d.Err()
}

func (l *Line) take(key, value string) {
	switch key {
	case "ts":
		// A line without a readable time is not an event line.
		l.At, _ = time.Parse(time.RFC3339, value)
	case "instance":
		l.Instance = value
	case "event":
		l.Event, _ = strconv.Atoi(value)
	case "msg":
		l.Message = value
	case "level":
	default:
		l.Fields = append(l.Fields, Field{Key: key, Value: value})
	}
}

package explain

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"strconv"
	"time"

	"github.com/go-logfmt/logfmt"
)

// ReadLines returns the event lines of a log. Other text is passed over: collected
// output also has lines of other programs, and often begins or ends within a
// line.
func ReadLines(r io.Reader) ([]Line, error) {
	var lines []Line
	reader := bufio.NewReader(r)
	for {
		text, err := reader.ReadBytes('\n')
		if line, ok := parse(text); ok {
			lines = append(lines, line)
		}
		if errors.Is(err, io.EOF) {
			return lines, nil
		}
		if err != nil {
			return lines, err
		}
	}
}

// parse returns the event of a line, or false if it has none.
func parse(text []byte) (Line, bool) {
	line := Line{}
	d := logfmt.NewDecoder(bytes.NewReader(text))
	for d.ScanRecord() {
		for d.ScanKeyval() {
			line.take(string(d.Key()), string(d.Value()))
		}
	}
	return line, d.Err() == nil && line.Event != 0 && !line.Time.IsZero()
}

func (l *Line) take(key, value string) {
	switch key {
	case "ts":
		// A line without a readable time is not an event line.
		l.Time, _ = time.Parse(time.RFC3339, value)
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

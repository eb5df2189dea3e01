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

// ReadLines returns the event lines of a log. It skips all other lines: collected output
// may contain lines of other programs, and often begins or ends in the middle of a line.
// On an error it returns the lines read so far.
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

// parse parses a line. It returns false if it is not an event line.
func parse(text []byte) (Line, bool) {
	line := Line{}
	d := logfmt.NewDecoder(bytes.NewReader(text))
	for d.ScanRecord() {
		for d.ScanKeyval() {
			line.setField(string(d.Key()), string(d.Value()))
		}
	}
	return line, d.Err() == nil && line.Event != 0 && !line.Time.IsZero()
}

func (l *Line) setField(key, value string) {
	switch key {
	case "ts":
		// If the time is invalid, l.Time stays zero and parse rejects the line.
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

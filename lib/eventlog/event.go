// Package eventlog writes numbered log events. Each event is declared once in
// the catalogue, from which docs/events.md is generated.
package eventlog

// Level is the severity of an event.
type Level string

// Levels of severity.
const (
	Info  Level = "info"
	Warn  Level = "warn"
	Error Level = "error"
)

// Event is an entry of the catalogue. Its number never changes, because
// operators' alerts refer to it.
type Event struct {
	Number int
	Level  Level
	// Message is the text of the log line.
	Message string
	// Action tells operators what to do, or that nothing is needed.
	Action string
}

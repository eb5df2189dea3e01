// Package eventlog writes numbered log events. Each event is declared once in
// the catalogue, from which docs/events.md is generated.
package eventlog

// Level is the severity of an event.
type Level string

// Severities.
const (
	Info  Level = "info"
	Warn  Level = "warn"
	Error Level = "error"
)

// Event is one entry of the catalogue. Numbers are stable: operators' alerts
// refer to them.
type Event struct {
	Number int
	Level  Level
	// Message is the text of the log line.
	Message string
	// Action tells an operator what to do, or that nothing is needed.
	Action string
}

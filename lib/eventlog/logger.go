package eventlog

import "github.com/go-kit/log"

// Logger writes events. It is safe for concurrent use if the underlying logger
// is.
type Logger struct {
	base log.Logger
	// minSeverity is the severity below which events are dropped.
	minSeverity int
}

// New returns a Logger that adds the given key-value pairs to each event.
func New(base log.Logger, keyvals ...any) *Logger {
	return &Logger{base: log.With(base, keyvals...)}
}

// Discard returns a Logger that writes nothing.
func Discard() *Logger { return New(log.NewNopLogger()) }

// With returns a Logger that adds more key-value pairs.
func (l *Logger) With(keyvals ...any) *Logger {
	return &Logger{base: log.With(l.base, keyvals...), minSeverity: l.minSeverity}
}

// Log writes one event. It ignores write errors, because a logging failure must
// not stop a request.
func (l *Logger) Log(e Event, keyvals ...any) {
	if e.Level.severity() < l.minSeverity {
		return
	}
	fields := append([]any{"event", e.Number, "level", string(e.Level), "msg", e.Message}, keyvals...)
	_ = l.base.Log(fields...)
}

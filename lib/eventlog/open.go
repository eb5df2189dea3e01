package eventlog

import (
	"io"
	"time"

	"github.com/go-kit/log"

	"github.com/auburnbend/auburnbend/lib/clock"
	"github.com/auburnbend/auburnbend/lib/settings"
)

// Open returns a Logger with the format and level of the settings. It serializes
// writes to w. Lines have a UTC timestamp in milliseconds.
func Open(cfg settings.Log, w io.Writer, c clock.Clock) *Logger {
	w = log.NewSyncWriter(w)
	base := log.NewLogfmtLogger(w)
	if cfg.Format == settings.LogJSON {
		base = log.NewJSONLogger(w)
	}
	timestamp := log.Valuer(func() any { return c.Now().UTC().Format("2006-01-02T15:04:05.000Z") })
	l := New(base, "ts", timestamp)
	l.minSeverity = Level(cfg.Level).severity()
	return l
}

// RateLimited returns a logger that writes each event at most once per interval.
// It is meant for events that a single fault repeats many times.
func (l *Logger) RateLimited(c clock.Clock, interval time.Duration) *RateLimitedLogger {
	return &RateLimitedLogger{logger: l, clock: c, interval: interval}
}

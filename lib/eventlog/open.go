package eventlog

import (
	"io"
	"time"

	"github.com/go-kit/log"

	"github.com/auburnbend/auburnbend/lib/clock"
	"github.com/auburnbend/auburnbend/lib/settings"
)

// Open returns the Logger that the settings ask for. Lines carry a UTC
// timestamp with milliseconds.
func Open(cfg settings.Log, w io.Writer, c clock.Clock) *Logger {
	w = log.NewSyncWriter(w)
	base := log.NewLogfmtLogger(w)
	if cfg.Format == settings.LogJSON {
		base = log.NewJSONLogger(w)
	}
	stamp := log.Valuer(func() any { return c.Now().UTC().Format("2006-01-02T15:04:05.000Z") })
	l := New(base, "ts", stamp)
	l.least = Level(cfg.Level).severity()
	return l
}

// RateLimited returns a Logger that writes an event at most once in each interval
// and drops the others. It serves events that one fault repeats many times.
func (l *Logger) RateLimited(c clock.Clock, interval time.Duration) *RateLimitedLogger {
	return &RateLimitedLogger{logger: l, clock: c, interval: interval}
}

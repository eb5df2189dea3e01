package eventlog

import (
	"io"

	"github.com/go-kit/log"

	"github.com/auburnbend/auburnbend/lib/clock"
)

// OpenPlain returns a Logger that writes logfmt lines with a UTC timestamp to w,
// which must be safe for concurrent use.
func OpenPlain(w io.Writer, c clock.Clock) *Logger {
	timestamp := log.Valuer(func() any { return c.Now().UTC().Format("2006-01-02T15:04:05.000Z") })
	return New(log.NewLogfmtLogger(w), "ts", timestamp)
}

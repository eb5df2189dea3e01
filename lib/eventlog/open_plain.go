package eventlog

import (
	"io"

	"github.com/go-kit/log"

	"github.com/auburnbend/auburnbend/lib/clock"
)

// OpenPlain returns a Logger that writes logfmt lines with a UTC timestamp to a
// writer that is safe for concurrent use.
func OpenPlain(w io.Writer, c clock.Clock) *Logger {
	stamp := log.Valuer(func() any { return c.Now().UTC().Format("2006-01-02T15:04:05.000Z") })
	return New(log.NewLogfmtLogger(w), "ts", stamp)
}

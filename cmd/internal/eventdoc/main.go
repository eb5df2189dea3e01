// Command eventdoc generates docs/events.md from the log events in lib/eventlog.
package main

import (
	"flag"
	"fmt"
	"os"

	"github.com/auburnbend/auburnbend/lib/eventlog"
)

func main() {
	out := flag.String("out", "docs/events.md", "output file")
	flag.Parse()
	if err := os.WriteFile(*out, []byte(eventlog.Markdown()), 0o644); err != nil { //nolint:gosec // documentation may be readable by all users
		fmt.Fprintln(os.Stderr, "eventdoc:", err)
		os.Exit(1)
	}
}

// Command eventdoc writes docs/events.md from the catalogue of events.
package main

import (
	"flag"
	"fmt"
	"os"

	"github.com/auburnbend/auburnbend/lib/eventlog"
)

func main() {
	out := flag.String("out", "docs/events.md", "file to write")
	flag.Parse()
	if err := os.WriteFile(*out, []byte(eventlog.Markdown()), 0o644); err != nil { //nolint:gosec // a page to read
		fmt.Fprintln(os.Stderr, "eventdoc:", err)
		os.Exit(1)
	}
}

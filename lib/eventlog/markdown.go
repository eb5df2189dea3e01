package eventlog

import (
	"fmt"
	"strings"
)

// Markdown returns the content of docs/events.md.
func Markdown() string {
	var b strings.Builder
	b.WriteString("# Events\n\n")
	b.WriteString("Each log line has an event number that does not change. This page is generated from the catalogue in lib/eventlog by `go generate ./lib/eventlog`.\n\n")
	b.WriteString("| Number | Level | Message | What to do |\n|---|---|---|---|\n")
	for _, e := range Catalogue() {
		fmt.Fprintf(&b, "| %d | %s | %s | %s |\n", e.Number, e.Level, e.Message, e.Action)
	}
	return b.String()
}

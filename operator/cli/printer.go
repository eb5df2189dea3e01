package cli

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"

	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	"github.com/auburnbend/auburnbend/lib/config"
)

// printer prints responses as text or as JSON. Errors of writing text are ignored.
type printer struct {
	out  io.Writer
	json bool
}

// message prints m as JSON on one line, or calls table if the output is not JSON.
func (p *printer) message(m proto.Message, table func()) error {
	if !p.json {
		table()
		return nil
	}
	b, err := protojson.MarshalOptions{EmitUnpopulated: true}.Marshal(m)
	if err != nil {
		return err
	}
	_, err = fmt.Fprintln(p.out, string(b))
	return err
}

// table prints rows in aligned columns. header contains the column names, separated by
// spaces.
func (p *printer) table(header string, rows [][]string) {
	w := tabwriter.NewWriter(p.out, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(w, strings.ReplaceAll(header, " ", "\t"))
	for _, row := range rows {
		_, _ = fmt.Fprintln(w, strings.Join(row, "\t"))
	}
	_ = w.Flush()
}

func (p *printer) line(format string, args ...any) {
	_, _ = fmt.Fprintf(p.out, format+"\n", args...)
}

func (p *printer) differences(diffs []config.Difference) {
	for _, d := range diffs {
		p.line("%s", d)
	}
}

func formatAge(d time.Duration) string { return d.Round(100 * time.Millisecond).String() }

func formatTime(t time.Time) string { return t.UTC().Format(time.RFC3339) }

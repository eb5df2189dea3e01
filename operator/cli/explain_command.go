package cli

import (
	"fmt"
	"io"
	"os"

	"github.com/spf13/cobra"

	"github.com/auburnbend/auburnbend/operator/explain"
)

func newExplainCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "explain ID FILE...",
		Short: "Explain what happened to a request from collected log files",
		Long: `Explain what happened to a request from collected log files.

It prints the log lines of the request in order of time, an explanation of the
reason for its end, and other events of the processes and backend servers
involved. Not all answered requests are logged, and lines are dropped if there
are too many: look for event 7203 and see the metrics.`,
		Example: "  auburnctl explain 9c41d07be2a35f68 logs/*.log",
		Args:    cobra.MinimumNArgs(2),
		RunE: func(cmd *cobra.Command, args []string) error {
			var lines []explain.Line
			for _, path := range args[1:] {
				file, err := os.Open(path)
				if err != nil {
					return err
				}
				more, err := explain.ReadLines(file)
				_ = file.Close()
				if err != nil {
					return fmt.Errorf("%s: %w", path, err)
				}
				lines = append(lines, more...)
			}
			timeline := explain.FindRequest(args[0], lines)
			if len(timeline.Lines) == 0 {
				return fmt.Errorf("no log line of request %s found", args[0])
			}
			return printTimeline(cmd.OutOrStdout(), timeline)
		},
	}
}

func printTimeline(w io.Writer, timeline explain.Timeline) error {
	p := timelinePrinter{w: w}
	p.printf("request:\n")
	for i := range timeline.Lines {
		p.line(&timeline.Lines[i])
	}
	for _, server := range explain.LeftOut(&timeline.Lines[len(timeline.Lines)-1]) {
		p.printf("left out: %s\n", server)
	}
	if description := explain.DescribeReason(timeline.Lines[len(timeline.Lines)-1].Get("reason")); description != "" {
		p.printf("reason: %s\n", description)
	}
	if len(timeline.Context) > 0 {
		p.printf("related events:\n")
	}
	for i := range timeline.Context {
		p.line(&timeline.Context[i])
	}
	return p.err
}

// timelinePrinter prints log lines. After a failed write it prints nothing more.
type timelinePrinter struct {
	w   io.Writer
	err error
}

func (p *timelinePrinter) printf(format string, args ...any) {
	if p.err == nil {
		_, p.err = fmt.Fprintf(p.w, format, args...)
	}
}

func (p *timelinePrinter) line(l *explain.Line) {
	p.printf("  %s %s %d %s", l.Time.Format("15:04:05.000"), l.Instance, l.Event, l.Message)
	for _, f := range l.Fields {
		if f.Value != "" && f.Value != "0" {
			p.printf(" %s=%q", f.Key, f.Value)
		}
	}
	p.printf("\n")
}

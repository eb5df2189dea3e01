package cli

import (
	"fmt"
	"io"
	"os"

	"github.com/spf13/cobra"

	"github.com/auburnbend/auburnbend/operator/explain"
)

// newExplainCommand returns the command that explains a request from log files.
func newExplainCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "explain ID FILE...",
		Short: "Explain what happened to a request from collected log files",
		Long: `Explain what happened to a request from collected log files.

It prints the lines that name the request in order of time, what the reason of
its end means, and what else happened to the processes and backend servers that
it met. A request without a line was answered and not sampled, or its line was
dropped: look for event 7203 and at the counters.`,
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
			story := explain.FindRequest(args[0], lines)
			if len(story.Lines) == 0 {
				return fmt.Errorf("no line names request %s", args[0])
			}
			return printStory(cmd.OutOrStdout(), story)
		},
	}
}

func printStory(w io.Writer, story explain.Timeline) error {
	p := storyPrinter{w: w}
	p.printf("request:\n")
	for i := range story.Lines {
		p.line(&story.Lines[i])
	}
	if meaning := explain.DescribeReason(story.Lines[len(story.Lines)-1].Get("reason")); meaning != "" {
		p.printf("reason: %s\n", meaning)
	}
	if len(story.Context) > 0 {
		p.printf("around it:\n")
	}
	for i := range story.Context {
		p.line(&story.Context[i])
	}
	return p.err
}

// storyPrinter prints lines until the first failed write.
type storyPrinter struct {
	w   io.Writer
	err error
}

func (p *storyPrinter) printf(format string, args ...any) {
	if p.err == nil {
		_, p.err = fmt.Fprintf(p.w, format, args...)
	}
}

func (p *storyPrinter) line(l *explain.Line) {
	p.printf("  %s %s %d %s", l.Time.Format("15:04:05.000"), l.Instance, l.Event, l.Message)
	for _, f := range l.Fields {
		if f.Value != "" && f.Value != "0" {
			p.printf(" %s=%q", f.Key, f.Value)
		}
	}
	p.printf("\n")
}

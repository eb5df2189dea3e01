package cli

import (
	"strconv"
	"strings"

	"github.com/spf13/cobra"

	"github.com/auburnbend/auburnbend/operator"
	"github.com/auburnbend/auburnbend/schema/convert"
)

func newDiffCommand(o *options) *cobra.Command {
	return &cobra.Command{
		Use:   "diff FROM [TO]",
		Short: "Show the differences between two revisions",
		Example: `  auburnctl config diff 40        # to the newest
  auburnctl config diff 40 41`,
		Args: usageArgs(cobra.RangeArgs(1, 2)),
		RunE: func(cmd *cobra.Command, values []string) error {
			numbers := make([]uint64, 2)
			for i, text := range values {
				number, err := parseRevision(text)
				if err != nil {
					return err
				}
				numbers[i] = number
			}
			return o.run(cmd, func(client *operator.Client, p *printer) error {
				m, err := client.Diff(cmd.Context(), numbers[0], numbers[1])
				if err != nil {
					return err
				}
				return p.message(m, func() {
					p.differences(convert.DifferencesFromMessage(m.GetDifferences()))
					p.line("revision %d to %d", m.GetFrom().GetNumber(), m.GetTo().GetNumber())
				})
			})
		},
	}
}

func newHistoryCommand(o *options) *cobra.Command {
	var before uint64
	var limit int
	cmd := &cobra.Command{
		Use:     "history",
		Short:   "List accepted revisions, newest first",
		Example: "  auburnctl config history --limit 5",
		Args:    usageArgs(cobra.NoArgs),
		RunE: func(cmd *cobra.Command, _ []string) error {
			return o.run(cmd, func(client *operator.Client, p *printer) error {
				m, err := client.History(cmd.Context(), before, limit)
				if err != nil {
					return err
				}
				return p.message(m, func() {
					var rows [][]string
					for _, e := range m.GetEntries() {
						rows = append(rows, []string{
							strconv.FormatUint(e.GetRevision().GetNumber(), 10), formatTime(e.GetAccepted().AsTime()),
							e.GetAuthor(), e.GetOperation(), strings.Join(e.GetObjects(), ", "),
						})
					}
					p.table("REVISION ACCEPTED AUTHOR OPERATION CHANGES", rows)
				})
			})
		},
	}
	cmd.Flags().Uint64Var(&before, "before", 0, "list only revisions before this one; 0 means from the newest")
	cmd.Flags().IntVar(&limit, "limit", 20, "maximum number of revisions, 1 to 500")
	return cmd
}

func newConfigStatusCommand(o *options) *cobra.Command {
	return &cobra.Command{
		Use:     "status",
		Short:   "Show the revisions in force in each failure domain and their age",
		Example: "  auburnctl config status",
		Args:    usageArgs(cobra.NoArgs),
		RunE: func(cmd *cobra.Command, _ []string) error {
			return o.run(cmd, func(client *operator.Client, p *printer) error {
				m, err := client.ConfigStatus(cmd.Context())
				if err != nil {
					return err
				}
				return p.message(m, func() {
					p.line("in force at the entry: revision %d, age %s", m.GetRevision().GetNumber(), formatAge(m.GetAge().AsDuration()))
					var rows [][]string
					for _, d := range m.GetDomains() {
						rows = append(rows, []string{
							d.GetFailureDomain(), strconv.FormatUint(d.GetLowest().GetNumber(), 10), strconv.FormatUint(d.GetHighest().GetNumber(), 10),
							formatAge(d.GetAge().AsDuration()), strconv.Itoa(int(d.GetProcesses())), formatAge(d.GetHeard().AsDuration()),
						})
					}
					p.table("DOMAIN LOWEST HIGHEST AGE PROCESSES HEARD", rows)
				})
			})
		},
	}
}

package cli

import (
	"io"
	"os"
	"strconv"

	"github.com/spf13/cobra"

	"github.com/auburnbend/auburnbend/lib/config"
	"github.com/auburnbend/auburnbend/operator"
	"github.com/auburnbend/auburnbend/schema/convert"
	pb "github.com/auburnbend/auburnbend/schema/operatorpb"
)

func newConfigCommand(o *options) *cobra.Command {
	cmd := &cobra.Command{Use: "config", Short: "Read and change the accepted configuration"}
	cmd.AddCommand(newApplyCommand(o), newGetCommand(o), newDiffCommand(o), newHistoryCommand(o), newRollbackCommand(o), newConfigStatusCommand(o))
	return cmd
}

// changeFlags are the flags of commands that create a revision.
type changeFlags struct {
	expect    uint64
	operation string
	dryRun    bool
}

func (c *changeFlags) addFlags(cmd *cobra.Command) {
	flags := cmd.Flags()
	flags.Uint64Var(&c.expect, "expect", 0, "number of the current revision, which the change is based on; 0 if there is none")
	flags.StringVar(&c.operation, "operation", "", "operation id; to repeat a change with unknown outcome, use its id")
	flags.BoolVar(&c.dryRun, "dry-run", false, "validate the change and print the differences without applying it")
	_ = cmd.MarkFlagRequired("expect")
}

// request returns a request without a configuration. It has a new operation id unless
// the flag is set.
func (c *changeFlags) request() config.Request {
	req := config.Request{Expected: c.expect, Operation: c.operation, DryRun: c.dryRun}
	if req.Operation == "" {
		req.Operation = operator.NewOperationID()
	}
	return req
}

// printResult prints the result of a change.
func (c *changeFlags) printResult(p *printer, req config.Request, result config.Result) error {
	m := &pb.ApplyResponse{
		Revision: convert.HeadToMessage(result.Head), Differences: convert.DifferencesToMessage(result.Differences),
		Unchanged: result.Unchanged, Replayed: result.Replayed,
	}
	return p.message(m, func() {
		p.differences(result.Differences)
		switch {
		case result.Unchanged:
			p.line("unchanged, revision %d", result.Head.Number)
		case c.dryRun:
			p.line("dry run against revision %d, nothing changed", result.Head.Number)
		default:
			p.line("accepted as revision %d, operation %s", result.Head.Number, req.Operation)
		}
	})
}

func newApplyCommand(o *options) *cobra.Command {
	c := &changeFlags{}
	cmd := &cobra.Command{
		Use:   "apply FILE",
		Short: "Make a declaration file the next revision",
		Long:  "Make a declaration file the next revision. If FILE is -, read standard input.",
		Example: `  auburnctl config apply deployment.ini --expect 41 --dry-run
  auburnctl config apply deployment.ini --expect 41`,
		Args: usageArgs(cobra.ExactArgs(1)),
		RunE: func(cmd *cobra.Command, files []string) error {
			declared, err := readDeclaration(cmd.InOrStdin(), files[0])
			if err != nil {
				return err
			}
			return o.run(cmd, func(client *operator.Client, p *printer) error {
				req := c.request()
				req.Config = declared
				result, err := client.Apply(cmd.Context(), req)
				if err != nil {
					return err
				}
				return c.printResult(p, req, result)
			})
		},
	}
	c.addFlags(cmd)
	return cmd
}

// readDeclaration reads and parses a declaration file, or stdin if file is "-".
func readDeclaration(stdin io.Reader, file string) (*config.Config, error) {
	var data []byte
	var err error
	if file == "-" {
		data, err = io.ReadAll(stdin)
	} else {
		data, err = os.ReadFile(file)
	}
	if err != nil {
		return nil, usagef("%v", err)
	}
	return config.Parse(data)
}

func newRollbackCommand(o *options) *cobra.Command {
	c := &changeFlags{}
	cmd := &cobra.Command{
		Use:     "rollback REVISION",
		Short:   "Make the configuration of an earlier revision the next one",
		Example: "  auburnctl config rollback 40 --expect 42",
		Args:    usageArgs(cobra.ExactArgs(1)),
		RunE: func(cmd *cobra.Command, values []string) error {
			to, err := parseRevision(values[0])
			if err != nil {
				return err
			}
			return o.run(cmd, func(client *operator.Client, p *printer) error {
				req := c.request()
				result, err := client.Rollback(cmd.Context(), to, req)
				if err != nil {
					return err
				}
				return c.printResult(p, req, result)
			})
		},
	}
	c.addFlags(cmd)
	return cmd
}

func newGetCommand(o *options) *cobra.Command {
	var number uint64
	var inForce bool
	cmd := &cobra.Command{
		Use:   "get",
		Short: "Print a revision in the format of a declaration file",
		Example: `  auburnctl config get > deployment.ini
  auburnctl config get --revision 40
  auburnctl config get --in-force     # does not need the store`,
		Args: usageArgs(cobra.NoArgs),
		RunE: func(cmd *cobra.Command, _ []string) error {
			return o.run(cmd, func(client *operator.Client, p *printer) error {
				view, err := client.Get(cmd.Context(), number, inForce)
				if err != nil {
					return err
				}
				m := &pb.GetResponse{Revision: convert.HeadToMessage(view.Head), Config: convert.ConfigToMessage(view.Config)}
				return p.message(m, func() {
					p.line("# revision %d, digest %s, accepted %s\n", view.Head.Number, view.Head.Digest, formatTime(view.Accepted))
					_, _ = p.out.Write(config.Format(view.Config))
				})
			})
		},
	}
	cmd.Flags().Uint64Var(&number, "revision", 0, "number of the revision; 0 means the newest")
	cmd.Flags().BoolVar(&inForce, "in-force", false, "print the configuration in force on the entry, without asking the store")
	return cmd
}

// parseRevision parses the number of a revision.
func parseRevision(text string) (uint64, error) {
	number, err := strconv.ParseUint(text, 10, 64)
	if err != nil || number == 0 {
		return 0, usagef("invalid revision %q: must be a positive integer", text)
	}
	return number, nil
}

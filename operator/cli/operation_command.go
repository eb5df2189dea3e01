package cli

import (
	"github.com/spf13/cobra"

	"github.com/auburnbend/auburnbend/operator"
	pb "github.com/auburnbend/auburnbend/schema/operatorpb"
)

func newOperationCommand(o *options) *cobra.Command {
	cmd := &cobra.Command{Use: "operation", Short: "Resolve changes of unknown outcome"}
	cmd.AddCommand(newOperationStatusCommand(o))
	return cmd
}

func newOperationStatusCommand(o *options) *cobra.Command {
	var settle bool
	cmd := &cobra.Command{
		Use:   "status ID",
		Short: "Show what became of an operation",
		Long: `Show what became of an operation. "not found" is not final: a write whose reply
was lost may still arrive. With --settle, an operation that was not accepted is
abandoned and never will be.`,
		Example: "  auburnctl operation status 0193a1c4-7d1e-7c55-b0a5-0242ac120002 --settle",
		Args:    args(cobra.ExactArgs(1)),
		RunE: func(cmd *cobra.Command, ids []string) error {
			return o.run(cmd, func(client *operator.Client, p *printer) error {
				m, err := client.OperationStatus(cmd.Context(), ids[0], settle)
				if err != nil {
					return err
				}
				return p.message(m, func() {
					switch m.GetState() {
					case pb.OperationState_OPERATION_STATE_APPLIED:
						p.line("applied as revision %d at %s", m.GetRevision().GetNumber(), formatTime(m.GetTime().AsTime()))
					case pb.OperationState_OPERATION_STATE_ABANDONED:
						p.line("abandoned, not applied")
					default:
						p.line("not found; add --settle for a final answer")
					}
				})
			})
		},
	}
	cmd.Flags().BoolVar(&settle, "settle", false, "abandon the operation unless it was applied")
	return cmd
}

package cli

import (
	"github.com/spf13/cobra"

	"github.com/auburnbend/auburnbend/operator"
	pb "github.com/auburnbend/auburnbend/schema/operatorpb"
)

func newOperationCommand(o *options) *cobra.Command {
	cmd := &cobra.Command{Use: "operation", Short: "Resolve changes with unknown outcome"}
	cmd.AddCommand(newOperationStatusCommand(o))
	return cmd
}

func newOperationStatusCommand(o *options) *cobra.Command {
	var settle bool
	cmd := &cobra.Command{
		Use:   "status ID",
		Short: "Show the state of an operation",
		Long: `Show the state of an operation. "not found" is not final: a write whose reply was
lost may still be applied. With --settle, an operation that was not applied is
abandoned, so that it can no longer be applied.`,
		Example: "  auburnctl operation status 0193a1c4-7d1e-7c55-b0a5-0242ac120002 --settle",
		Args:    usageArgs(cobra.ExactArgs(1)),
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
						p.line("not found; use --settle for a final state")
					}
				})
			})
		},
	}
	cmd.Flags().BoolVar(&settle, "settle", false, "abandon the operation if it was not applied")
	return cmd
}

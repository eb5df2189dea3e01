// Package cli holds the commands of auburnctl.
package cli

import (
	"github.com/spf13/cobra"
)

// New returns the root command.
func New(version string) *cobra.Command {
	o := &options{}
	cmd := &cobra.Command{
		Use:   "auburnctl",
		Short: "Declare and watch what a deployment serves",
		Long: `Declare and watch what a deployment serves.

Exit codes:
  0  done
  1  other failure
  2  wrong usage
  3  the configuration is invalid; every fault was printed
  4  conflict: another change was accepted first, or the operation id was used
  5  unknown outcome: ask "auburnctl operation status" with the printed id
  6  no entry or the store did not answer; nothing was changed
  7  not found`,
		Example: `  auburnctl config get > deployment.ini
  auburnctl config apply deployment.ini --expect 41
  auburnctl rollout status --watch`,
		Version:       version,
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	cmd.SetFlagErrorFunc(func(_ *cobra.Command, err error) error { return &usageError{err} })
	o.addFlags(cmd.PersistentFlags())
	cmd.AddCommand(newConfigCommand(o), newOperationCommand(o), newRolloutCommand(o), newInstancesCommand(o), newManifestCommand(), newExplainCommand())
	return cmd
}

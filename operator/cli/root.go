// Package cli implements the commands of auburnctl.
package cli

import (
	"github.com/spf13/cobra"
)

// New returns the root command.
func New(version string) *cobra.Command {
	o := &options{}
	cmd := &cobra.Command{
		Use:   "auburnctl",
		Short: "Configure and monitor a deployment",
		Long: `Configure and monitor a deployment.

Exit codes:
  0  success
  1  other error
  2  usage error
  3  invalid configuration; all violations were printed
  4  conflict: another change was accepted before, or the operation id was already used
  5  unknown outcome: use "auburnctl operation status" with the printed id
  6  no entry answered, or the store did not answer; nothing was changed
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

package cli

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"github.com/auburnbend/auburnbend/operator"
	pb "github.com/auburnbend/auburnbend/schema/operatorpb"
)

func newRolloutCommand(o *options) *cobra.Command {
	cmd := &cobra.Command{Use: "rollout", Short: "Watch and plan the rollout of versions"}
	cmd.AddCommand(newRolloutStatusCommand(o), newRolloutPlanCommand(o))
	return cmd
}

func newRolloutStatusCommand(o *options) *cobra.Command {
	var modelName, version string
	var watch, untilComplete bool
	var interval time.Duration
	cmd := &cobra.Command{
		Use:   "status",
		Short: "Show instances by phase, bytes by source and the estimated remaining time",
		Example: `  auburnctl rollout status
  auburnctl rollout status --model crest --version v4 --watch --until-complete`,
		Args: usageArgs(cobra.NoArgs),
		RunE: func(cmd *cobra.Command, _ []string) error {
			return o.run(cmd, func(client *operator.Client, p *printer) error {
				var printErr error
				err := client.WatchRollout(cmd.Context(), modelName, version, interval, untilComplete, func(m *pb.RolloutStatusResponse) bool {
					printErr = p.message(m, func() { p.rollouts(m) })
					return printErr == nil && (watch || untilComplete)
				})
				if printErr != nil {
					return printErr
				}
				return err
			})
		},
	}
	flags := cmd.Flags()
	flags.StringVar(&modelName, "model", "", "show only this model")
	flags.StringVar(&version, "version", "", "show only this version")
	flags.BoolVarP(&watch, "watch", "w", false, "print the state at each interval until interrupted")
	flags.BoolVar(&untilComplete, "until-complete", false, "print the state at each interval until all desired instances are live")
	flags.DurationVar(&interval, "interval", 2*time.Second, "time between two states, 100ms to 1m")
	return cmd
}

func (p *printer) rollouts(m *pb.RolloutStatusResponse) {
	var rows [][]string
	for _, r := range m.GetRollouts() {
		var phases []string
		for _, c := range r.GetPhases() {
			phases = append(phases, fmt.Sprintf("%s:%d", c.GetPhase(), c.GetInstances()))
		}
		remaining := "-"
		if r.GetRemaining() != nil {
			remaining = formatAge(r.GetRemaining().AsDuration())
		}
		rows = append(rows, []string{
			r.GetModel(), r.GetVersion(), r.GetFailureDomain(), r.GetPool(), strconv.Itoa(int(r.GetWanted())), strings.Join(phases, " "),
			formatSize(r.GetOriginBytes()), formatSize(r.GetPeerBytes()), formatSize(r.GetTotalBytes()), remaining,
		})
	}
	p.table("MODEL VERSION DOMAIN POOL WANTED PHASES ORIGIN PEERS TOTAL REMAINING", rows)
}

// formatSize formats a number of bytes with a binary unit.
func formatSize(n int64) string {
	const unit = 1024
	if n < unit {
		return strconv.FormatInt(n, 10) + "B"
	}
	value, suffix := float64(n), ""
	for _, suffix = range []string{"KiB", "MiB", "GiB", "TiB"} {
		value /= unit
		if value < unit {
			break
		}
	}
	return strconv.FormatFloat(value, 'f', 1, 64) + suffix
}

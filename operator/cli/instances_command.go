package cli

import (
	"strconv"
	"strings"

	"github.com/spf13/cobra"

	"github.com/auburnbend/auburnbend/operator"
)

func newInstancesCommand(o *options) *cobra.Command {
	var domain, pool string
	cmd := &cobra.Command{
		Use:     "instances",
		Short:   "List entries and agents",
		Example: "  auburnctl instances --domain kigali --pool crest -o json",
		Args:    usageArgs(cobra.NoArgs),
		RunE: func(cmd *cobra.Command, _ []string) error {
			return o.run(cmd, func(client *operator.Client, p *printer) error {
				m, err := client.Instances(cmd.Context(), domain, pool)
				if err != nil {
					return err
				}
				return p.message(m, func() {
					var rows [][]string
					for _, i := range m.GetInstances() {
						rows = append(rows, []string{
							i.GetId(), i.GetRole(), i.GetFailureDomain(), i.GetPool(), i.GetAddress(), i.GetState(),
							strconv.FormatUint(i.GetRevision(), 10), strings.Join(i.GetWeights(), " "),
							strconv.Itoa(int(i.GetRunning())), strconv.Itoa(int(i.GetQueued())), formatAge(i.GetHeard().AsDuration()),
						})
					}
					p.table("ID ROLE DOMAIN POOL ADDRESS STATE REVISION WEIGHTS RUNNING QUEUED HEARD", rows)
				})
			})
		},
	}
	cmd.Flags().StringVar(&domain, "domain", "", "list only instances of this failure domain")
	cmd.Flags().StringVar(&pool, "pool", "", "list only instances of this pool")
	return cmd
}

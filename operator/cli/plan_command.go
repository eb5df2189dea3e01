package cli

import (
	"encoding/json"
	"os"
	"strconv"
	"time"

	"github.com/spf13/cobra"

	"github.com/auburnbend/auburnbend/lib/config"
	"github.com/auburnbend/auburnbend/lib/distribute"
	"github.com/auburnbend/auburnbend/operator"
)

// assumedChunkSize is the chunk size in bytes that plans assume. Declarations contain
// only the digest of the manifest, not the chunk size.
const assumedChunkSize = 4 << 20

func newRolloutPlanCommand(o *options) *cobra.Command {
	links := planLinks{}
	cmd := &cobra.Command{
		Use:   "plan FILE",
		Short: "Estimate the rollout of a declaration file before it is applied",
		Long: `Estimate, for each version that a declaration file places, the time until all
instances hold it, the bytes read from the origin and whether the target time
can be met. The number of instances is taken from an entry. The rates of the
links must be given.`,
		Example: `  auburnctl rollout plan deployment.ini --origin 2Gbit/s --instance 1Gbit/s --region 20Mbit/s --target 5m`,
		Args:    usageArgs(cobra.ExactArgs(1)),
		RunE: func(cmd *cobra.Command, arguments []string) error {
			text, err := os.ReadFile(arguments[0])
			if err != nil {
				return err
			}
			declared, err := config.Parse(text)
			if err != nil {
				return err
			}
			if err := links.parse(); err != nil {
				return err
			}
			return o.run(cmd, func(client *operator.Client, p *printer) error {
				known, err := client.Instances(cmd.Context(), "", "")
				if err != nil {
					return err
				}
				return p.plans(planVersions(declared, links, known.GetInstances()))
			})
		},
	}
	links.addFlags(cmd)
	return cmd
}

// versionPlan is the estimated rollout of one version.
type versionPlan struct {
	Model       string        `json:"model"`
	Version     string        `json:"version"`
	Instances   int           `json:"instances"`
	Copies      int           `json:"copies"`
	OriginBytes int64         `json:"origin_bytes"`
	LowerBound  time.Duration `json:"lower_bound_ns"`
	Time        time.Duration `json:"time_ns"`
	MeetsTarget bool          `json:"meets_target"`
}

// plans prints plans as a table or as JSON.
func (p *printer) plans(plans []versionPlan) error {
	if p.json {
		return json.NewEncoder(p.out).Encode(plans)
	}
	var rows [][]string
	for _, v := range plans {
		rows = append(rows, []string{
			v.Model, v.Version, strconv.Itoa(v.Instances), strconv.Itoa(v.Copies), formatSize(v.OriginBytes),
			formatAge(v.LowerBound), formatAge(v.Time), strconv.FormatBool(v.MeetsTarget),
		})
	}
	p.table("MODEL VERSION INSTANCES COPIES ORIGIN LOWER_BOUND TIME MEETS_TARGET", rows)
	return nil
}

// planVersions returns plans for all versions that are placed on at least one instance.
func planVersions(c *config.Config, links planLinks, known instances) []versionPlan {
	var plans []versionPlan
	for _, m := range c.Models {
		domains := known.domainsOf(c, m, links)
		if len(domains) == 0 {
			continue
		}
		plan := distribute.MakePlan(distribute.PlanInput{
			Size: m.Bytes, ChunkSize: min(m.Bytes, assumedChunkSize), Domains: domains,
			OriginRate: links.originRate, InterRegionRate: links.regionRate * c.Deployment.TransferShare,
			MaxCopies: c.Deployment.OriginCopies, TimeWeight: c.Deployment.TimeWeight, TargetTime: links.target,
		})
		v := versionPlan{
			Model: m.Name, Version: m.Version, Copies: plan.Policy.Copies, OriginBytes: plan.OriginBytes,
			LowerBound: plan.LowerBound, Time: plan.EstimatedTime, MeetsTarget: plan.MeetsTarget,
		}
		for _, d := range domains {
			v.Instances += d.Instances
		}
		plans = append(plans, v)
	}
	return plans
}

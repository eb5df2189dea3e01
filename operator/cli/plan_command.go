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

// defaultPlanChunk is the chunk size that a plan assumes, in bytes: declarations
// name manifests by digest and not by their chunks.
const defaultPlanChunk = 4 << 20

func newRolloutPlanCommand(o *options) *cobra.Command {
	links := planLinks{}
	cmd := &cobra.Command{
		Use:   "plan FILE",
		Short: "Estimate time and origin bytes of a declaration before it is applied",
		Long: `Estimate, for each version that a declaration file places, the time until all
instances hold it and the bytes read from the origin, and say whether a target
can be met. Instances are counted by an entry; rates are those of the links.`,
		Example: `  auburnctl rollout plan deployment.ini --origin 2Gbit/s --instance 1Gbit/s --region 20Mbit/s --target 5m`,
		Args:    args(cobra.ExactArgs(1)),
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

// versionPlan is the plan of one version.
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

// planVersions plans each placed version.
func planVersions(c *config.Config, links planLinks, known instances) []versionPlan {
	var plans []versionPlan
	for _, m := range c.Models {
		domains := known.domainsOf(c, m, links)
		if len(domains) == 0 {
			continue
		}
		plan := distribute.MakePlan(distribute.PlanInput{
			Size: m.Bytes, ChunkSize: min(m.Bytes, defaultPlanChunk), Domains: domains,
			OriginRate: links.origin, InterRegionRate: links.region * c.Deployment.TransferShare,
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

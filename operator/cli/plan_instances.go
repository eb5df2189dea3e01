package cli

import (
	"github.com/auburnbend/auburnbend/lib/config"
	"github.com/auburnbend/auburnbend/lib/distribute"
	"github.com/auburnbend/auburnbend/lib/model"
	pb "github.com/auburnbend/auburnbend/schema/operatorpb"
)

// instances are the instances that are known to an entry.
type instances []*pb.Instance

// domainsOf returns the failure domains where a version is placed, with the number of
// instances and the rates of their links in bytes per second.
func (known instances) domainsOf(c *config.Config, m config.Model, links planLinks) []distribute.DomainInput {
	rate := links.instanceRate * c.Deployment.TransferShare
	var domains []distribute.DomainInput
	for _, p := range c.Placements {
		if p.Model != m.Name || p.Version != m.Version {
			continue
		}
		region, count := known.countAgents(p)
		if p.Replicas > 0 {
			count = p.Replicas
		}
		if count > 0 {
			domains = append(domains, distribute.DomainInput{
				Location:  model.Location{Region: region, FailureDomain: p.FailureDomain},
				Instances: count, DownloadRate: rate, UploadRate: rate,
			})
		}
	}
	return domains
}

// countAgents returns the region of a placement's failure domain and the number of
// agents in its pool that are neither draining nor gone. If no instance of the domain is
// known, the name of the domain is used as region.
func (known instances) countAgents(p config.Placement) (region model.Region, count int) {
	region = model.Region(p.FailureDomain)
	for _, i := range known {
		if i.GetFailureDomain() != string(p.FailureDomain) {
			continue
		}
		region = model.Region(i.GetRegion())
		if i.GetRole() == "agent" && i.GetPool() == p.Pool && i.GetState() != "draining" && i.GetState() != "gone" {
			count++
		}
	}
	return region, count
}

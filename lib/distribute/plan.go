package distribute

import (
	"math"
	"time"

	"github.com/auburnbend/auburnbend/lib/model"
)

// DomainInput describes the instances of one failure domain for a plan.
type DomainInput struct {
	Location  model.Location
	Instances int
	// DownloadRate and UploadRate are the part of one instance's link rate that
	// transfers may use, in bytes per second.
	DownloadRate, UploadRate float64
}

// PlanInput is the input of MakePlan. All rates are in bytes per second and
// cover only the share of a link that transfers may use.
type PlanInput struct {
	// Size is the sum of the chunk sizes and ChunkSize the size of the largest
	// chunk, in bytes.
	Size, ChunkSize int64
	Domains         []DomainInput
	// OriginRate is the rate of the origin's link.
	OriginRate float64
	// InterRegionRate is the rate between two regions in each direction.
	InterRegionRate float64
	// MaxCopies is the maximum number of copies to read from the origin; 0
	// allows one per failure domain.
	MaxCopies int
	// TimeWeight is between 0 (minimize origin traffic) and 1 (minimize time).
	TimeWeight float64
	// TargetTime is the desired time until the last instance holds the weights;
	// 0 means no target.
	TargetTime time.Duration
}

// Plan is the result of MakePlan.
type Plan struct {
	Policy Policy
	// PerRegion is true if copies are counted per region instead of per failure
	// domain.
	PerRegion bool
	// LowerBound is the minimum time that any plan needs.
	LowerBound time.Duration
	// EstimatedTime is the estimated time until all instances hold the weights.
	EstimatedTime time.Duration
	// OriginBytes is the estimated number of bytes read from the origin.
	OriginBytes int64
	// MeetsTarget is false if the estimated time exceeds the target.
	MeetsTarget bool
}

// tieThreshold is the relative difference in time below which two plans count
// as equally fast. It matches the precision of the estimate; of two such plans
// the one with fewer copies is preferred.
const tieThreshold = 0.01

// MakePlan estimates time and origin traffic for each allowed number of copies
// and selects the best plan according to TimeWeight. Without domains it returns
// a plan that does nothing.
func MakePlan(in PlanInput) Plan {
	maxCopies := len(in.Domains)
	if in.MaxCopies > 0 {
		maxCopies = min(maxCopies, in.MaxCopies)
	}
	var plans []Plan
	for copies := 1; copies <= maxCopies; copies++ {
		plans = append(plans, in.estimate(copies))
	}
	if len(plans) == 0 {
		return Plan{MeetsTarget: true}
	}
	fastest := plans[0].EstimatedTime
	for _, p := range plans {
		fastest = min(fastest, p.EstimatedTime)
	}
	best, bestCost := plans[0], math.Inf(1)
	for _, p := range plans {
		extraTime := float64(p.EstimatedTime)/float64(fastest) - 1
		if extraTime < tieThreshold {
			extraTime = 0
		}
		extraBytes := float64(p.OriginBytes)/float64(plans[0].OriginBytes) - 1
		if cost := in.TimeWeight*extraTime + (1-in.TimeWeight)*extraBytes; cost < bestCost {
			best, bestCost = p, cost
		}
	}
	best.MeetsTarget = in.TargetTime <= 0 || best.EstimatedTime <= in.TargetTime
	return best
}

// estimate computes the plan for a number of copies. A failure domain is
// complete when it has received one copy, from the origin and other regions
// combined, and has forwarded the last chunk to all of its instances.
func (in PlanInput) estimate(copies int) Plan {
	regions := make(map[model.Region]int)
	instances, uploads := 0, 0.0
	slowest := math.Inf(1)
	p := Plan{Policy: Policy{Copies: copies}}
	for _, d := range in.Domains {
		p.Policy.Domains = append(p.Policy.Domains, d.Location)
		regions[d.Location.Region]++
		instances += d.Instances
		uploads += float64(d.Instances) * d.UploadRate
		slowest = min(slowest, d.DownloadRate)
	}
	size := float64(in.Size)
	bound := max(size/in.OriginRate, size/slowest, float64(instances)*size/(in.OriginRate+uploads))
	p.LowerBound = toDuration(bound)
	p.PerRegion = copies <= len(regions) && len(regions) < len(in.Domains)

	// Each region needs one external copy. Copies beyond the number of regions
	// replace exchange between the failure domains of a region.
	groups := float64(len(regions))
	if !p.PerRegion && copies > len(regions) {
		groups = float64(len(in.Domains))
	}
	inbound := float64(len(regions)-1) * in.InterRegionRate * float64(len(regions)) // sum over all regions
	k := float64(copies)
	external := max(groups*size/(in.OriginRate+inbound), size/in.OriginRate)
	if forwarded := (groups - k) * size; forwarded > 0 {
		if inbound <= 0 {
			external = math.Inf(1) // no links to forward the remaining copies over
		} else {
			external = max(external, forwarded/inbound)
		}
	}
	rounds := math.Ceil(math.Log2(float64(instances)/float64(max(len(in.Domains), 1)) + 1))
	tail := rounds * float64(in.ChunkSize) / slowest
	p.EstimatedTime = toDuration(max(bound, external) + tail)
	p.OriginBytes = int64(min(k*size, max(size, in.OriginRate*max(bound, external))))
	return p
}

func toDuration(s float64) time.Duration {
	if math.IsInf(s, 1) || s > math.MaxInt64/float64(time.Second) {
		return math.MaxInt64
	}
	return time.Duration(s * float64(time.Second))
}

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
	// DownloadRate and Upload are the rates of one instance's link that transfers
	// may use, in bytes per second.
	DownloadRate, UploadRate float64
}

// PlanInput is what a plan is calculated from. All rates are in bytes per
// second and include the share that transfers may use.
type PlanInput struct {
	// Size is the sum of the chunk sizes in bytes, and ChunkSize the largest.
	Size, ChunkSize int64
	Domains         []DomainInput
	// OriginRate is the rate of the origin's link.
	OriginRate float64
	// InterRegionRate is the rate between two regions in each direction.
	InterRegionRate float64
	// MaxCopies is the budget of copies from the origin; 0 means one for each
	// failure domain.
	MaxCopies int
	// TimeWeight is between 0 (save origin bytes) and 1 (save time).
	TimeWeight float64
	// TargetTime is the wanted time to the last instance; 0 means none.
	TargetTime time.Duration
}

// Plan is the outcome of MakePlan.
type Plan struct {
	Policy Policy
	// PerRegion is true when copies are counted for each region rather than for
	// each failure domain.
	PerRegion bool
	// LowerBound is the time that no plan can beat.
	LowerBound time.Duration
	// EstimatedTime is the estimated time until all instances hold the weights.
	EstimatedTime time.Duration
	// OriginBytes is the estimate of bytes read from the origin.
	OriginBytes int64
	// MeetsTarget is false when the target is below the estimated time.
	MeetsTarget bool
}

// tieShare is the difference in time below which two plans count as equally
// fast. It is the precision of the estimate; the one with fewer copies wins.
const tieShare = 0.01

// MakePlan calculates time and origin bytes for each number of copies within
// the budget and chooses by the declared weight.
func MakePlan(in PlanInput) Plan {
	most := len(in.Domains)
	if in.MaxCopies > 0 {
		most = min(most, in.MaxCopies)
	}
	var plans []Plan
	for copies := 1; copies <= most; copies++ {
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
		slower := float64(p.EstimatedTime)/float64(fastest) - 1
		if slower < tieShare {
			slower = 0
		}
		more := float64(p.OriginBytes)/float64(plans[0].OriginBytes) - 1
		if cost := in.TimeWeight*slower + (1-in.TimeWeight)*more; cost < bestCost {
			best, bestCost = p, cost
		}
	}
	best.MeetsTarget = in.TargetTime <= 0 || best.EstimatedTime <= in.TargetTime
	return best
}

// estimate calculates the plan for a number of copies. A failure domain is
// complete when it has received one copy from the origin and the other regions
// together and has passed the last chunk on.
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
	p.LowerBound = seconds(bound)
	p.PerRegion = copies <= len(regions) && len(regions) < len(in.Domains)

	// External bytes: each region needs one copy. Copies above the number of
	// regions replace exchange between domains of one region.
	groups := float64(len(regions))
	if !p.PerRegion && copies > len(regions) {
		groups = float64(len(in.Domains))
	}
	inbound := float64(len(regions)-1) * in.InterRegionRate * float64(len(regions)) // all regions together
	k := float64(copies)
	external := max(groups*size/(in.OriginRate+inbound), size/in.OriginRate)
	if forwarded := (groups - k) * size; forwarded > 0 {
		if inbound <= 0 {
			external = math.Inf(1) // the rest cannot be forwarded
		} else {
			external = max(external, forwarded/inbound)
		}
	}
	fanOut := math.Ceil(math.Log2(float64(instances)/float64(max(len(in.Domains), 1)) + 1))
	tail := fanOut * float64(in.ChunkSize) / slowest
	p.EstimatedTime = seconds(max(bound, external) + tail)
	p.OriginBytes = int64(min(k*size, max(size, in.OriginRate*max(bound, external))))
	return p
}

func seconds(s float64) time.Duration {
	if math.IsInf(s, 1) || s > math.MaxInt64/float64(time.Second) {
		return math.MaxInt64
	}
	return time.Duration(s * float64(time.Second))
}

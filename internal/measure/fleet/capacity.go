package fleet

import (
	"strconv"

	"github.com/auburnbend/auburnbend/lib/model"
)

// NumTenants is the number of tenants that share a deployment.
const NumTenants = 10

// InTimeTarget is the share of requests that must have a response in time.
const InTimeTarget = 0.95

// TenantName returns the name of the n-th tenant.
func TenantName(n int) model.Tenant { return model.Tenant("team-" + strconv.Itoa(n)) }

// EvenRates divides a rate in requests per second evenly among all tenants.
func EvenRates(perSecond float64) map[model.Tenant]float64 {
	rates := make(map[model.Tenant]float64, NumTenants)
	for n := range NumTenants {
		rates[TenantName(n)] = perSecond / NumTenants
	}
	return rates
}

// FindCapacity returns the highest rate in requests per second, to within step,
// at which the share of requests with a response in time reaches InTimeTarget for
// every seed.
func FindCapacity(cfg Config, seeds []uint64, step float64) float64 {
	low, high := step, step
	for meetsTarget(cfg, seeds, high) {
		low, high = high, 2*high
	}
	for high-low > step {
		mid := (low + high) / 2
		if meetsTarget(cfg, seeds, mid) {
			low = mid
		} else {
			high = mid
		}
	}
	return low
}

func meetsTarget(cfg Config, seeds []uint64, perSecond float64) bool {
	cfg.Rates = EvenRates(perSecond)
	for _, seed := range seeds {
		cfg.Seed = seed
		r := Run(cfg)
		if r.Total().InTimeShare() < InTimeTarget {
			return false
		}
	}
	return true
}

// SearchSeeds returns the seeds for FindCapacity. They differ from the seed of
// the measurement, so that the search does not select the figures at capacity.
func SearchSeeds(seed uint64) []uint64 { return []uint64{seed + 1001, seed + 1002} }

package fleet

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/auburnbend/auburnbend/lib/model"
)

// A response is in time when its time to first token and its mean time between
// tokens are within these targets for the planned deployment size.
const (
	FirstTokenTarget    = 1400 * time.Millisecond
	BetweenTokensTarget = 53 * time.Millisecond
)

// Shape of the requests, in tokens unless a name says blocks. Prompts of the same
// kind share a prefix, as requests with the same service instructions do. The
// popularity of kinds follows Zipf's law.
const (
	promptKinds        = 96
	sharedPrefixBlocks = 16
	uniqueTokens       = 160
	meanOutputTokens   = 120
	minOutputTokens    = 16
	maxOutputTokens    = 480
	zipfExponent       = 0.8
	uniqueBlocks       = uniqueTokens / TokensPerBlock
	promptTokens       = sharedPrefixBlocks*TokensPerBlock + uniqueTokens
	estimatedTokens    = promptTokens + meanOutputTokens
)

// job is one request of a caller.
type job struct {
	id           model.RequestID
	tenant       model.Tenant
	arrival      time.Time
	blocks       []uint64
	promptTokens int
	outputTokens int
	recorded     bool // counted in the result
}

// workload generates random requests with Poisson arrivals.
type workload struct {
	rng               *rand.Rand
	lastSerial        uint64
	cumulativeWeights []float64 // of the prompt kinds, not normalised
}

func newWorkload(seed uint64) *workload {
	w := &workload{rng: rand.New(rand.NewPCG(seed, 0x9e3779b97f4a7c15))}
	sum := 0.0
	for i := range promptKinds {
		sum += math.Pow(float64(i+1), -zipfExponent)
		w.cumulativeWeights = append(w.cumulativeWeights, sum)
	}
	return w
}

// drawInterval draws the time until the next arrival.
func (w *workload) drawInterval(perSecond float64) time.Duration {
	return time.Duration(w.rng.ExpFloat64() / perSecond * float64(time.Second))
}

func (w *workload) drawKind() int {
	x := w.rng.Float64() * w.cumulativeWeights[promptKinds-1]
	for i, sum := range w.cumulativeWeights {
		if x < sum {
			return i
		}
	}
	return promptKinds - 1
}

func (w *workload) newJob(now time.Time, tenant model.Tenant) *job {
	w.lastSerial++
	kind := uint64(w.drawKind())
	j := &job{tenant: tenant, arrival: now, promptTokens: promptTokens}
	j.id = requestID(w.lastSerial)
	for b := range uint64(sharedPrefixBlocks) {
		j.blocks = append(j.blocks, (kind+1)<<40|b+1)
	}
	for b := range uint64(uniqueBlocks) {
		j.blocks = append(j.blocks, 1<<62|w.lastSerial<<8|b)
	}
	length := w.rng.ExpFloat64() * (meanOutputTokens - minOutputTokens)
	j.outputTokens = min(maxOutputTokens, minOutputTokens+int(length))
	return j
}

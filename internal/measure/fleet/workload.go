package fleet

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/auburnbend/auburnbend/lib/model"
)

// Targets for an answer in time, from the design size.
const (
	FirstTokenTarget    = 1400 * time.Millisecond
	BetweenTokensTarget = 53 * time.Millisecond
)

// Shape of the requests. Prompts share a prefix by kind of request, as the
// instructions of a service do; the popularity of kinds follows Zipf's law.
const (
	kinds           = 96
	sharedBlocks    = 16
	uniqueTokens    = 160
	meanAnswer      = 120
	minAnswer       = 16
	maxAnswer       = 480
	zipfExponent    = 0.8
	uniqueBlocks    = uniqueTokens / BlockTokens
	promptTokens    = sharedBlocks*BlockTokens + uniqueTokens
	estimatedTokens = promptTokens + meanAnswer
)

// job is one request of a caller.
type job struct {
	id           model.RequestID
	tenant       model.Tenant
	arrival      time.Time
	blocks       []uint64
	promptTokens int
	answerTokens int
	answered     bool // counted already
}

// workload draws requests with Poisson arrivals.
type workload struct {
	rng     *rand.Rand
	serial  uint64
	popular []float64 // cumulative probability of kinds
}

func newWorkload(seed uint64) *workload {
	w := &workload{rng: rand.New(rand.NewPCG(seed, 0x9e3779b97f4a7c15))}
	sum := 0.0
	for i := range kinds {
		sum += math.Pow(float64(i+1), -zipfExponent)
		w.popular = append(w.popular, sum)
	}
	return w
}

// gap draws the time to the next arrival.
func (w *workload) gap(perSecond float64) time.Duration {
	return time.Duration(w.rng.ExpFloat64() / perSecond * float64(time.Second))
}

func (w *workload) kind() int {
	x := w.rng.Float64() * w.popular[kinds-1]
	for i, sum := range w.popular {
		if x < sum {
			return i
		}
	}
	return kinds - 1
}

func (w *workload) next(now time.Time, tenant model.Tenant) *job {
	w.serial++
	kind := uint64(w.kind())
	j := &job{tenant: tenant, arrival: now, promptTokens: promptTokens}
	j.id = requestID(w.serial)
	for b := range uint64(sharedBlocks) {
		j.blocks = append(j.blocks, (kind+1)<<40|b+1)
	}
	for b := range uint64(uniqueBlocks) {
		j.blocks = append(j.blocks, 1<<62|w.serial<<8|b)
	}
	length := w.rng.ExpFloat64() * (meanAnswer - minAnswer)
	j.answerTokens = min(maxAnswer, minAnswer+int(length))
	return j
}

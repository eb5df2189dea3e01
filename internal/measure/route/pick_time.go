package route

import (
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/auburnbend/auburnbend/internal/measure/figure"
	"github.com/auburnbend/auburnbend/internal/measure/fleet"
	"github.com/auburnbend/auburnbend/lib/model"
	"github.com/auburnbend/auburnbend/lib/route"
)

const (
	pickInstances    = 60
	pickBatches      = 9
	picksPerBatch    = 20_000
	pickPrefixBlocks = 16
	pickPrefixes     = 64
	// maxPickMicros is the target for the time of one pick in microseconds.
	maxPickMicros = 5
)

// measurePickTime measures the time of one Pick with its Started and Finished,
// with 60 instances.
func measurePickTime(seed uint64) figure.Figure {
	p := route.New(route.Config{}, rand.New(rand.NewPCG(seed, seed)))
	now := time.Unix(0, 0)
	weights := model.Weights{Base: model.Sum([]byte("base"))}
	for i := range pickInstances {
		id := model.InstanceID(strconv.Itoa(i))
		p.Update(now, route.Instance{ID: id, Generation: 1, Pool: "model", Live: []model.Weights{weights}})
		p.RecordLoad(now, route.Key{Instance: id, Generation: 1}, route.LoadReport{Running: i % 16, Capacity: 64})
	}
	requests := make([]route.Request, pickPrefixes)
	for k := range requests {
		requests[k] = route.Request{Pool: "model", Weights: weights, AffinityBlocks: pickPrefixBlocks}
		for b := range uint64(pickPrefixBlocks) {
			requests[k].Prefix = append(requests[k].Prefix, uint64(k)<<32|b)
		}
	}
	// The median over batches excludes pauses caused by other load on the machine.
	batches := make([]time.Duration, pickBatches)
	for b := range batches {
		start := time.Now()
		for i := range picksPerBatch {
			r := &requests[i%pickPrefixes]
			choice, err := p.Pick(now, r)
			if err != nil {
				continue
			}
			p.Started(now, choice.Key, r.Prefix)
			p.Finished(now, choice.Key, route.ResultOK)
		}
		batches[b] = time.Since(start) / picksPerBatch
	}
	micros := float64(fleet.Quantile(batches, 0.5).Nanoseconds()) / 1000
	return figure.Figure{Name: "route_pick_time", Value: micros, Unit: "us", Bound: figure.AtMost(maxPickMicros)}
}

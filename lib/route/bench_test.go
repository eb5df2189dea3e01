package route_test

import (
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	"github.com/auburnbend/auburnbend/lib/model"
	"github.com/auburnbend/auburnbend/lib/route"
)

func BenchmarkPick(b *testing.B) {
	p := route.New(route.Config{}, rand.New(rand.NewPCG(1, 1)))
	now := time.Unix(0, 0)
	weights := model.Weights{Base: model.Sum([]byte("base"))}
	for i := range 60 {
		id := model.InstanceID(strconv.Itoa(i))
		p.Update(now, route.Instance{ID: id, Generation: 1, Pool: "model", Live: []model.Weights{weights}})
		p.RecordLoad(now, route.Key{Instance: id, Generation: 1}, route.LoadReport{Running: i % 16, Capacity: 64})
	}
	prefix := make([]uint64, 16)
	for i := range prefix {
		prefix[i] = uint64(i)
	}
	r := &route.Request{
		Pool: "model", Weights: weights, Prefix: prefix, AffinityBlocks: len(prefix),
		HasCapacity: func(route.Key) bool { return true },
	}
	b.ReportAllocs()
	for b.Loop() {
		c, err := p.Pick(now, r)
		if err != nil {
			b.Fatal(err)
		}
		p.Started(now, c.Key, prefix)
		p.Finished(now, c.Key, route.ResultOK)
	}
}

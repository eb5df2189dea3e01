package engine_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/auburnbend/auburnbend/lib/engine"
	"github.com/auburnbend/auburnbend/lib/model"
	standin "github.com/auburnbend/auburnbend/standin/engine"
)

var _ = Describe("KV cache orders", func() {
	adapted := model.Weights{Base: weightsOf("v1").Base, Adapter: weightsOf("adapter").Base}
	cache := func(w model.Weights) *engine.KVCache {
		return &engine.KVCache{Weights: w, Stream: "r1", Data: []byte("{}")}
	}

	// Guards against responses that mix two versions of the weights. The engine
	// does not check the weights, so the order must not be sent.
	DescribeTable("are not sent to an engine with other weights", func(o engine.Order) {
		server, client, guard, _ := startLoaded(standin.Config{IgnoreWeights: true}, "v1")
		before := len(server.AcceptedOrders())
		Expect(runOrder(client, guard, o).Err).To(MatchError(engine.ErrWeightsMismatch))
		Expect(server.AcceptedOrders()).To(HaveLen(before))
	},
		Entry("export", engine.Order{Kind: engine.OrderExportKV, Weights: weightsOf("v2"), Stream: "r1"}),
		Entry("export of an adapter", engine.Order{Kind: engine.OrderExportKV, Weights: adapted, Stream: "r1"}),
		Entry("import", engine.Order{Kind: engine.OrderImportKV, Weights: weightsOf("v2"), KV: cache(weightsOf("v2"))}),
		Entry("import of an adapter's cache", engine.Order{Kind: engine.OrderImportKV, Weights: weightsOf("v1"), KV: cache(adapted)}),
		Entry("import of a cache of other weights", engine.Order{Kind: engine.OrderImportKV, Weights: weightsOf("v1"), KV: cache(weightsOf("v2"))}),
		Entry("import that names other weights than the cache", engine.Order{Kind: engine.OrderImportKV, Weights: weightsOf("v2"), KV: cache(weightsOf("v1"))}),
		Entry("import without a cache", engine.Order{Kind: engine.OrderImportKV, Weights: weightsOf("v1")}),
	)

	// Guards against an engine whose weights change between the precheck and
	// the order, which only the state after the order shows.
	DescribeTable("fail when the engine has other weights afterwards", func(kind engine.OrderKind) {
		now := time.Unix(1000, 0)
		guard := engine.NewGuard(engine.GuardConfig{Epoch: 1, EnforcesFencing: true})
		Expect(guard.Submit(engine.Order{Kind: kind, Weights: weightsOf("v1"), Stream: "r1", KV: cache(weightsOf("v1"))})).To(Succeed())
		Expect(guard.Next(now).Kind).To(Equal(engine.StepReadState))
		guard.OnState(now, engine.State{Incarnation: 1, Weights: weightsOf("v1")}, nil)
		step := guard.Next(now)
		Expect(step.Kind).To(Equal(engine.StepSend))
		guard.OnReply(now, engine.Reply{KV: cache(weightsOf("v1"))}, nil)
		Expect(guard.Next(now).Kind).To(Equal(engine.StepReadState))
		guard.OnState(now, engine.State{Incarnation: 2, Weights: weightsOf("v2"), Accepted: step.Order.Fence}, nil)
		step = guard.Next(now)
		Expect(step.Kind).To(Equal(engine.StepDone))
		Expect(step.Result.Err).To(MatchError(engine.ErrWeightsMismatch))
	},
		Entry("export", engine.OrderExportKV),
		Entry("import", engine.OrderImportKV),
	)
})

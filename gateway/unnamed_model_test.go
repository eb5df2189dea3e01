package gateway

import (
	"context"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/auburnbend/auburnbend/lib/clock"
	"github.com/auburnbend/auburnbend/lib/directory"
	"github.com/auburnbend/auburnbend/lib/eventlog"
	"github.com/auburnbend/auburnbend/lib/placement"
	"github.com/auburnbend/auburnbend/lib/serving"
)

var _ = Describe("The minimum version of weights", func() {
	const timeLimit = 8 * time.Second
	engine := *regionEngine
	engine.Models = []string{"m"}
	place := func(model string, age time.Duration) (*attempt, *placement.Refusal) {
		g := New(Config{Clock: clock.System{}, Log: eventlog.Discard(), MaxRolloutTime: timeLimit, Placement: placement.Config{Domain: "north", Regions: map[string]string{"north": "n"}}})
		g.SetConfig(&serving.Config{Version: 1, Services: []serving.Service{{Name: "drafts", Engine: &engine}}})
		g.UpdateServers(func(d *directory.Directory, _ time.Time) {
			d.Put(&directory.Server{
				ID: "s", Service: "drafts", Address: "127.0.1.1:7700", Domain: "north", Slots: 8,
				Weights: map[string]directory.Weights{"m": {Version: 1, Complete: true}},
			})
		})
		key := directory.Key{ID: "s"}
		g.Report(key, placement.Load{})
		g.RecordVerified(key, placement.VerifiedWeights{Model: "m", Version: 1})
		g.SetTargetVersion("m", 2, age)
		r := &request{
			gateway: g, table: g.table.Load(), route: &serving.Route{}, service: "drafts", engine: &engine,
			info: RequestInfo{ID: "id", Model: model, PromptTokens: 900, ExpectedTokens: 75},
		}
		return r.place(context.Background(), g.now())
	}

	DescribeTable("applies to requests that name no model",
		// Guards against a request that begins on weights which are too old because it names no model.
		func(model string) {
			attempt, refusal := place(model, timeLimit/4)
			Expect(refusal).To(BeNil())
			Expect(attempt.lease.Server.ID).To(Equal("s"))
			attempt, refusal = place(model, timeLimit)
			Expect(attempt).To(BeNil())
			Expect(refusal).To(HaveField("Reason", placement.NoWeights))
		},
		Entry("with a model", "m"),
		Entry("without a model", ""),
	)
})

package config_test

import (
	"context"
	"errors"
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/auburnbend/auburnbend/lib/clock"
	"github.com/auburnbend/auburnbend/lib/config"
	"github.com/auburnbend/auburnbend/standin/fault"
	"github.com/auburnbend/auburnbend/standin/table"
)

func noWait(context.Context, time.Duration) error { return nil }

var _ = Describe("Store", func() {
	var (
		ctx   = context.Background()
		clk   *clock.Fake
		rows  *table.Service
		store *config.Store
	)
	BeforeEach(func() {
		clk = clock.NewFake(time.Unix(1_800_000_000, 0))
		rows = table.New()
		store = config.NewStore(rows, config.StoreConfig{Clock: clk, Sleep: noWait})
	})
	apply := func(variant int, expected uint64, operation string) (config.Result, error) {
		return store.Apply(ctx, config.Request{Config: sampleConfig(1, variant), Expected: expected, Operation: operation, Author: "ops"})
	}

	It("reports the differences to a request that lost to a concurrent one", func() {
		Expect(apply(0, 0, "a")).To(HaveField("Head.Number", uint64(1)))
		Expect(apply(1, 1, "b")).To(HaveField("Head.Number", uint64(2)))
		_, err := apply(2, 1, "c")
		var conflict *config.RevisionConflictError
		Expect(errors.As(err, &conflict)).To(BeTrue())
		Expect(conflict.Current.Number).To(Equal(uint64(2)))
		Expect(conflict.Operation).To(Equal("b"))
		Expect(conflict.Differences).To(HaveExactElements(HaveField("Key", "share")))
	})

	It("accepts a request only once if replies are lost", func() {
		rows.Faults.Set(fault.Faults{LoseAfter: 2})
		Expect(apply(0, 0, "a")).To(HaveField("Replayed", true))
		Expect(apply(0, 0, "a")).To(HaveField("Head.Number", uint64(1)))
		rows.Faults.Set(fault.Faults{LoseBefore: 2})
		Expect(apply(1, 1, "b")).To(HaveField("Head.Number", uint64(2)))
	})

	It("returns an unknown outcome while the store is down and settles it later", func() {
		rows.Faults.Set(fault.Faults{Down: true})
		_, err := apply(0, 0, "a")
		var unknown *config.UnknownOutcomeError
		Expect(errors.As(err, &unknown)).To(BeTrue())
		Expect(unknown.Operation).To(Equal("a"))
		rows.Faults.Set(fault.Faults{})
		Expect(store.Operation(ctx, "a", false)).To(HaveField("State", config.OperationNotFound))
		Expect(store.Operation(ctx, "a", true)).To(HaveField("State", config.OperationAbandoned))
		_, err = apply(0, 0, "a")
		Expect(errors.Is(err, config.ErrOperationReused)).To(BeTrue())
	})

	It("rejects an operation ID that belongs to another change", func() {
		Expect(apply(0, 0, "a")).Error().NotTo(HaveOccurred())
		_, err := apply(1, 1, "a")
		Expect(errors.Is(err, config.ErrOperationReused)).To(BeTrue())
		_, err = apply(3, 0, "a")
		Expect(errors.Is(err, config.ErrOperationReused)).To(BeTrue())
	})

	It("rolls back with a new revision, across snapshots", func() {
		for i := range 130 {
			Expect(apply(i, uint64(i), fmt.Sprint(i))).Error().NotTo(HaveOccurred())
		}
		_, err := store.Rollback(ctx, 70, config.Request{Expected: 130, Operation: "back", Author: "ops"})
		Expect(err).NotTo(HaveOccurred())
		fresh := config.NewStore(rows, config.StoreConfig{Clock: clk, Sleep: noWait})
		view, err := fresh.Get(ctx, 0)
		Expect(err).NotTo(HaveOccurred())
		Expect(view.Head.Number).To(Equal(uint64(131)))
		Expect(config.Diff(view.Config, sampleConfig(1, 69))).To(BeEmpty())
		entries, err := fresh.History(ctx, 0, 2)
		Expect(err).NotTo(HaveOccurred())
		Expect(entries).To(HaveLen(2))
		Expect(entries[0].Change.Operation).To(Equal("back"))
	})

	It("writes nothing in a dry run and prunes old operation IDs", func() {
		_, err := store.Apply(ctx, config.Request{Config: sampleConfig(1, 0), DryRun: true})
		Expect(err).NotTo(HaveOccurred())
		Expect(rows.Stats().Commits).To(BeZero())
		Expect(apply(0, 0, "a")).Error().NotTo(HaveOccurred())
		clk.Advance(25 * time.Hour)
		Expect(apply(1, 1, "b")).Error().NotTo(HaveOccurred())
		Expect(store.Prune(ctx)).To(Equal(1))
		Expect(apply(0, 0, "a")).To(HaveField("Replayed", true))
		Expect(store.Head(ctx)).To(HaveField("Number", uint64(2)))
	})
})

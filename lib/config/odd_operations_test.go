package config_test

import (
	"context"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/auburnbend/auburnbend/lib/backing"
	"github.com/auburnbend/auburnbend/lib/clock"
	"github.com/auburnbend/auburnbend/lib/config"
	"github.com/auburnbend/auburnbend/standin/table"
)

var _ = Describe("A row of another writer among the operation IDs", func() {
	It("does not stop the pruning of the others", func() {
		// Guards against a table that grows without an end.
		ctx := context.Background()
		clk := clock.NewFake(time.Unix(1_800_000_000, 0))
		rows := table.New()
		store := config.NewStore(rows, config.StoreConfig{Clock: clk, Sleep: noWait, OperationRetention: time.Hour})
		_, err := store.Apply(ctx, config.Request{Config: sampleConfig(1, 0), Operation: "m", Author: "ops"})
		Expect(err).NotTo(HaveOccurred())
		for _, key := range []string{"a", "z"} {
			Expect(rows.Commit(ctx, backing.Transaction{Writes: []backing.Write{{Table: config.OperationTable, Key: key, Condition: backing.Always, Value: []byte{0xc1}}}})).To(Succeed())
		}
		clk.Advance(2 * time.Hour)
		Expect(store.Prune(ctx)).To(Equal(1))
	})
})

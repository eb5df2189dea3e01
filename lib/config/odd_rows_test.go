package config_test

import (
	"bytes"
	"context"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/auburnbend/auburnbend/lib/backing"
	"github.com/auburnbend/auburnbend/lib/clock"
	"github.com/auburnbend/auburnbend/lib/config"
	"github.com/auburnbend/auburnbend/standin/table"
)

var _ = Describe("Rows of other writers among the revisions", func() {
	// Guards against entries that no longer follow the configuration, or do not get one
	// after a start, because one row cannot be decoded.
	ctx := context.Background()
	newStore := func(rows *table.Service) *config.Store {
		return config.NewStore(rows, config.StoreConfig{Clock: clock.NewFake(time.Unix(1_800_000_000, 0)), Sleep: noWait})
	}
	apply := func(s *config.Store, variant int, expected uint64, operation string) {
		Expect(s.Apply(ctx, config.Request{Config: sampleConfig(1, variant), Expected: expected, Operation: operation, Author: "ops"})).
			To(HaveField("Head.Number", expected+1))
	}
	nested := bytes.Repeat([]byte{0x91}, 100_000)

	DescribeTable("do not hold up the others",
		func(key string, value []byte) {
			rows := table.New()
			apply(newStore(rows), 0, 0, "a")
			apply(newStore(rows), 1, 1, "b")
			Expect(rows.Commit(ctx, backing.Transaction{Writes: []backing.Write{{Table: config.Table, Key: key, Condition: backing.Always, Value: value}}})).To(Succeed())
			apply(newStore(rows), 2, 2, "c")
			for at, want := range map[uint64]int{0: 3, 1: 2, 2: 1, 3: 0} {
				head := config.Head{Number: at}
				poll, err := newStore(rows).Poll(ctx, head)
				Expect(err).NotTo(HaveOccurred())
				Expect(poll.Revisions).To(HaveLen(want))
				Expect(poll.Head.Number).To(Equal(uint64(3)))
			}
			view, err := newStore(rows).Get(ctx, 3)
			Expect(err).NotTo(HaveOccurred())
			Expect(view.Head.Number).To(Equal(uint64(3)))
			Expect(newStore(rows).History(ctx, 0, 10)).To(HaveLen(3))
		},
		Entry("key after all revisions", "revision/odd", []byte("{}")),
		Entry("key before all revisions", "revision/!", nested),
		Entry("key between revisions", "revision/00000000000000000002x", nested),
		Entry("number far above the others", config.RevisionKey(9999), []byte{0xc1}),
		Entry("number 2^64-1", config.RevisionKey(1<<64-1), []byte{}),
		Entry("number out of range", "revision/99999999999999999999", nested),
		Entry("64 KB", config.RevisionKey(9999), []byte(strings.Repeat("x", 64<<10))),
		Entry("snapshot before all", "snapshot/!", nested),
		Entry("snapshot that cannot be read", "snapshot/00000000000000000000", []byte{0xc1}),
		Entry("snapshot after all", "snapshot/odd", nested),
	)

	It("are an error in place of the next revision", func() {
		rows := table.New()
		apply(newStore(rows), 0, 0, "a")
		Expect(rows.Commit(ctx, backing.Transaction{Writes: []backing.Write{{Table: config.Table, Key: config.RevisionKey(2), Condition: backing.Always, Value: nested}}})).To(Succeed())
		_, err := newStore(rows).Poll(ctx, config.Head{Number: 1})
		Expect(err).To(MatchError(config.ErrMalformed))
	})
})

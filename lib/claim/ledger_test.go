package claim

import (
	"context"
	"errors"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/auburnbend/auburnbend/internal/tabletest"
	"github.com/auburnbend/auburnbend/lib/model"
	"github.com/auburnbend/auburnbend/lib/outcome"
)

var _ = Describe("Ledger", func() {
	ctx := context.Background()
	now := time.Unix(1_800_000_000, 0)
	key := Key{Service: "orders", Tenant: "umurage", IdempotencyKey: "k"}
	result := Result{Outcome: outcome.Completed, Status: 201, Body: []byte("order 17")}
	var table *tabletest.Table
	var faults []tabletest.Fault // injected into the next writes, in order
	var readsFail bool
	open := func() *Ledger { return New(Config{MaxTries: 2, Backoff: func(context.Context) {}}, table, nil) }
	intent := func(id model.AttemptID, proofs ...model.AttemptID) Intent { return Intent{Attempt: id, Proofs: proofs} }

	BeforeEach(func() {
		table, faults, readsFail = tabletest.New(), nil, false
		table.Fault = func(write bool) tabletest.Fault {
			if !write && readsFail {
				return tabletest.Unavailable
			}
			if !write || len(faults) == 0 {
				return tabletest.NoFault
			}
			f := faults[0]
			faults = faults[1:]
			return f
		}
	})

	// Guards against a second run when a caller repeats a request.
	It("returns the state of the first claim to a second one", func() {
		l := open()
		Expect(l.Claim(ctx, now, key, intent("a1")).Status).To(Equal(StatusHeld))
		Expect(open().Claim(ctx, now, key, intent("a2")).Status).To(Equal(StatusNoResult))
		Expect(l.Complete(ctx, now, key, "a1", result)).To(Succeed())
		Expect(open().Claim(ctx, now, key, intent("a3")).Result).To(Equal(&result))
		Expect(open().Lookup(ctx, now, key).Result).To(Equal(&result))
		other := Intent{Attempt: "a4", Fingerprint: model.FingerprintOf("t", "s", []byte("other"))}
		Expect(open().Claim(ctx, now, key, other).Status).To(Equal(StatusKeyReused))
	})

	// Guards against treating a claim as lost although it was written.
	DescribeTable("reads the row back if the reply is lost", func(f tabletest.Fault) {
		faults = []tabletest.Fault{f}
		Expect(open().Claim(ctx, now, key, intent("a1")).Status).To(Equal(StatusHeld))
		table.ApplyDelayed()
		Expect(open().Claim(ctx, now, key, intent("a2")).Status).To(Equal(StatusNoResult))
	},
		Entry("if the write was applied", tabletest.LostReply),
		Entry("if the write was not applied", tabletest.LostRequest),
		Entry("if the write is applied later", tabletest.DelayedWrite),
	)

	It("returns not run if no write of the claim was applied", func() {
		faults = []tabletest.Fault{tabletest.Unavailable, tabletest.Unavailable}
		a := open().Claim(ctx, now, key, intent("a1"))
		Expect(a.Status).To(Equal(StatusNotRun))
		Expect(a.Outcome).To(Equal(outcome.NotRun))
		Expect(a.RetryAfter).To(BeNumerically(">", 0))
	})

	It("returns unknown if another attempt's row exists but cannot be read", func() {
		open().Claim(ctx, now, key, intent("a1"))
		readsFail = true
		Expect(open().Claim(ctx, now, key, intent("a2")).Outcome).To(Equal(outcome.Unknown))
	})

	// Guards against a key that is blocked permanently after its caller got
	// not_run, in each of the ways listed in the package comment.
	Describe("after an abandoned claim", func() {
		var first *Ledger
		abandon := func(f tabletest.Fault) {
			first = open()
			readsFail, faults = true, []tabletest.Fault{f, f}
			decision := first.Claim(ctx, now, key, intent("a1"))
			Expect(decision.Status).To(Equal(StatusAbandoned))
			Expect(decision.Proofs).To(Equal([]model.AttemptID{"a1"}))
			readsFail = false
		}
		DescribeTable("RetryPending frees the key", func(f tabletest.Fault) {
			abandon(f)
			Expect(first.RetryPending(ctx, 10)).To(BeZero())
			table.ApplyDelayed()
			Expect(open().Claim(ctx, now, key, intent("a2")).Status).To(Equal(StatusHeld))
		},
			Entry("if the row exists", tabletest.LostReply),
			Entry("if the row does not exist", tabletest.LostRequest),
			Entry("if the row appears after RetryPending", tabletest.DelayedWrite),
		)
		It("lets the same entry overwrite the row", func() {
			abandon(tabletest.LostReply)
			Expect(first.Claim(ctx, now, key, intent("a2")).Status).To(Equal(StatusHeld))
			Expect(first.RetryPending(ctx, 10)).To(BeZero())
			Expect(open().Claim(ctx, now, key, intent("a3")).Status).To(Equal(StatusNoResult))
		})
		It("accepts the caller's proof if the entry is gone", func() {
			abandon(tabletest.LostReply)
			Expect(open().Claim(ctx, now, key, intent("a2")).Status).To(Equal(StatusNoResult))
			Expect(open().Claim(ctx, now, key, intent("a3", "a1")).Status).To(Equal(StatusHeld))
		})
	})

	// Guards against a release or a result of one attempt changing the row of
	// another.
	It("fences releases and results by attempt ID", func() {
		l := open()
		l.Claim(ctx, now, key, intent("a1"))
		Expect(l.Release(ctx, now, key, "a0")).To(MatchError(ErrFenced))
		Expect(l.Release(ctx, now, key, "a1")).To(Succeed())
		Expect(l.Claim(ctx, now, key, intent("a2")).Status).To(Equal(StatusHeld))
		Expect(l.Release(ctx, now, key, "a1")).To(MatchError(ErrFenced))
		Expect(l.Complete(ctx, now, key, "a1", result)).To(MatchError(ErrFenced))
		Expect(l.Complete(ctx, now, key, "a2", result)).To(Succeed())
		Expect(l.Release(ctx, now, key, "a2")).To(MatchError(ErrFenced))
	})

	// Guards against losing a result during an outage.
	It("keeps a result until the store confirms it", func() {
		l := open()
		l.Claim(ctx, now, key, intent("a1"))
		readsFail = true
		Expect(l.Complete(ctx, now, key, "a1", result)).To(MatchError(ErrPending))
		Expect(l.RetryPending(ctx, 10)).To(Equal(1))
		readsFail, faults = false, []tabletest.Fault{tabletest.LostReply}
		l.RetryPending(ctx, 10)
		Expect(l.RetryPending(ctx, 10)).To(BeZero())
		Expect(open().Claim(ctx, now, key, intent("a2")).Result).To(Equal(&result))
	})

	It("makes no claim if the backlog has no room for it", func() {
		l := New(Config{MaxTries: 1, MaxPending: 2}, table, nil)
		readsFail, faults = true, []tabletest.Fault{tabletest.LostRequest}
		Expect(l.Claim(ctx, now, key, intent("a1")).Status).To(Equal(StatusAbandoned))
		commits := table.Commits()
		Expect(l.Claim(ctx, now, Key{IdempotencyKey: "other"}, intent("a2")).Status).To(Equal(StatusNotRun))
		Expect(table.Commits()).To(Equal(commits))
	})

	It("treats a key as new after the retention and deletes its row after the margin", func() {
		l := open()
		l.Claim(ctx, now, key, intent("a1"))
		later := now.Add(24*time.Hour + time.Minute)
		_, deleted, err := l.Prune(ctx, later, "", 100)
		Expect(err).NotTo(HaveOccurred())
		Expect(deleted).To(BeZero())
		Expect(l.Claim(ctx, later, key, intent("a2")).Status).To(Equal(StatusHeld))
		next, deleted, err := l.Prune(ctx, later.Add(25*time.Hour), "", 1)
		Expect(err).NotTo(HaveOccurred())
		Expect(deleted).To(Equal(1))
		Expect(next).NotTo(BeEmpty())
		Expect(table.Rows()).To(BeZero())
	})

	// Guards against a retention setting without effect.
	It("applies a changed retention", func() {
		l := open()
		l.Claim(ctx, now, key, intent("a1"))
		later := now.Add(2 * time.Hour)
		Expect(l.Claim(ctx, later, key, intent("a2")).Status).To(Equal(StatusNoResult))
		l.SetRetention(time.Hour)
		Expect(l.Claim(ctx, later, key, intent("a2")).Status).To(Equal(StatusHeld))
	})

	It("stores the outcome without the body if the body is too large", func() {
		l := New(Config{MaxResultBytes: 4}, table, nil)
		l.Claim(ctx, now, key, intent("a1"))
		Expect(l.Complete(ctx, now, key, "a1", result)).To(Succeed())
		got := l.Lookup(ctx, now, key).Result
		Expect(got.BodyOmitted).To(BeTrue())
		Expect(got.Outcome).To(Equal(outcome.Completed))
	})

	It("parses the proofs that FormatProofs encodes", func() {
		proofs := []model.AttemptID{"a1", "a2"}
		Expect(ParseProofs(FormatProofs(proofs))).To(Equal(proofs))
		Expect(ParseProofs(" a1 ,, a2,")).To(Equal(proofs))
		Expect(ParseProofs("")).To(BeEmpty())
	})

	It("classifies an unrecognized error as a lost reply", func() {
		Expect(classify(errors.New("reset"))).To(MatchError(ContainSubstring("unknown")))
	})
})

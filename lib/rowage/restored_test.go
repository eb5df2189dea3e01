package rowage_test

import (
	"context"
	"net/http/httptrace"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/auburnbend/auburnbend/lib/watch"
)

var _ = Describe("Tracker of a store that is restored", func() {
	// read reads one row with the given revisions of the row and of the store.
	read := func(p *process, era, row, revision int64) time.Time {
		ctx, call := p.tracker.Begin(context.Background())
		p.runUntil(p.clock.Now().Add(latency))
		httptrace.ContextClientTrace(ctx).GotFirstResponseByte()
		rows := watch.Rows{Era: era, Revision: revision, Rows: []watch.Row{{Revision: row}}}
		p.tracker.Read(&rows, call)
		return rows.Rows[0].WrittenAfter
	}

	It("takes rows of the restored table for as old as the last answer before it", func() {
		// Guards against a row of unknown age after each restore, and against one that counts from
		// when it is read although it was written while the process was cut off.
		p := newProcess()
		Expect(read(p, 1, 50, 50)).To(BeZero())
		knownAt := p.clock.Now().Add(-latency)
		p.runUntil(p.clock.Now().Add(3 * time.Second))
		Expect(read(p, 2, 20, 28)).To(Equal(knownAt))
		restoredAt := p.clock.Now().Add(-latency)
		p.runUntil(p.clock.Now().Add(time.Second))
		Expect(read(p, 2, 29, 29)).To(Equal(restoredAt), "lower than before the restore")
		Expect(p.tracker.KnownAt()).To(Equal(p.clock.Now().Add(-latency)))
	})

	It("learns nothing from an answer of an earlier era", func() {
		p := newProcess()
		read(p, 2, 28, 28)
		knownAt := p.tracker.KnownAt()
		p.runUntil(p.clock.Now().Add(time.Second))
		Expect(read(p, 1, 90, 90)).To(BeZero())
		Expect(p.tracker.KnownAt()).To(Equal(knownAt))
	})

	It("takes rows that another instance has read from the restored store for as old as the last answer", func() {
		p := newProcess()
		read(p, 1, 50, 50)
		knownAt := p.tracker.KnownAt()
		p.runUntil(p.clock.Now().Add(time.Second))
		_, call := p.tracker.Begin(context.Background())
		p.runUntil(p.clock.Now().Add(latency))
		rows := watch.Rows{Era: 2, Revision: 30, Rows: []watch.Row{{Revision: 30, WrittenAfter: p.clock.Now()}}}
		p.tracker.Relayed(&rows, p.clock.Now(), call)
		Expect(rows.Rows[0].WrittenAfter).To(Equal(knownAt))
	})
})

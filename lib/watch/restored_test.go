package watch

import (
	"context"
	"errors"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/auburnbend/auburnbend/lib/clock"
)

var _ = Describe("Watcher of a store that is restored", func() {
	ctx := context.Background()
	inEra := func(era int64, resp response) response {
		resp.rows.Era = era
		return resp
	}
	var restored, stale [][2]Position
	follow := func(c Config, responses ...response) (*scriptedSource, *recordingHandler, *Watcher) {
		restored, stale = nil, nil
		c.OnRestored = func(known, answered Position) { restored = append(restored, [2]Position{known, answered}) }
		c.OnStale = func(known, answered Position) { stale = append(stale, [2]Position{known, answered}) }
		s, r := &scriptedSource{responses: responses}, &recordingHandler{}
		return s, r, New(c, s, r)
	}

	It("delivers the restored table at once although its revision is lower", func() {
		// Guards against configurations that are not read until the store has given out as many
		// revisions as it had before it was restored.
		s, r, w := follow(Config{}, inEra(1, rowsAt(51, "a", "b")), inEra(2, rowsAt(28, "a")), inEra(2, rowsAt(28, "a")), inEra(2, rowsAt(29, "c")))
		for i := range 4 {
			Expect(w.step(ctx)).To(BeZero(), "step %d", i)
		}
		Expect(s.calls).To(Equal([]string{"snapshot", "changes", "snapshot", "changes"}))
		Expect(s.sinces).To(Equal([]int64{51, 28}))
		Expect(r.events).To(Equal([]string{"replace a b", "replace recovered restored a", "apply c"}))
		Expect(restored).To(Equal([][2]Position{{{Era: 1, Revision: 51}, {Era: 2, Revision: 28}}}))
		Expect(stale).To(BeEmpty())
	})

	It("does not take the changes of another history for those since its revision", func() {
		// Guards against rows that are missed because the store has passed the known revision
		// again before the next call.
		_, r, w := follow(Config{}, inEra(0, rowsAt(51, "a")), inEra(1, rowsAt(60, "late")), inEra(1, rowsAt(60, "early", "late")))
		for range 3 {
			w.step(ctx)
		}
		Expect(r.events).To(Equal([]string{"replace a", "replace recovered restored early late"}))
	})

	It("reads the restored table after 410 and after an outage", func() {
		_, r, w := follow(Config{}, inEra(1, rowsAt(51, "a")), response{err: errors.New("down")}, response{err: ErrHistoryLost}, inEra(2, rowsAt(28, "a")), inEra(2, rowsAt(28)))
		for range 5 {
			w.step(ctx)
		}
		Expect(r.events).To(Equal([]string{"replace a", "lost", "replace recovered restored a"}))
	})

	It("drops answers of an earlier era whatever their revision, and reports the first of them", func() {
		// Guards against a state that the store has lost and that a lagging instance still tells.
		s, r, w := follow(Config{}, inEra(2, rowsAt(28, "a")), inEra(1, rowsAt(99, "lost")), inEra(1, rowsAt(99, "lost")), inEra(2, rowsAt(29, "b")))
		for i := range 4 {
			delay := w.step(ctx)
			Expect(delay > 0).To(Equal(i == 1 || i == 2))
		}
		Expect(s.sinces).To(Equal([]int64{28, 28, 28}))
		Expect(r.events).To(Equal([]string{"replace a", "apply b"}))
		Expect(stale).To(Equal([][2]Position{{{Era: 2, Revision: 28}, {Era: 1, Revision: 99}}}))
	})

	It("does not deliver the table of the earlier era once it has met the later one", func() {
		// Guards against rows of the lost history that an instance which has not read of the
		// restore still has, and against calls without a pause while two instances disagree.
		s, r, w := follow(Config{}, inEra(1, rowsAt(51, "a")), inEra(2, rowsAt(28)), inEra(1, rowsAt(52, "lost")), inEra(2, rowsAt(28, "a")), inEra(2, rowsAt(29, "b")))
		for i := range 5 {
			delay := w.step(ctx)
			Expect(delay > 0).To(Equal(i == 2), "step %d", i)
		}
		Expect(s.calls).To(Equal([]string{"snapshot", "changes", "snapshot", "snapshot", "changes"}))
		Expect(r.events).To(Equal([]string{"replace a", "replace recovered restored a", "apply b"}))
		Expect(stale).To(Equal([][2]Position{{{Era: 2, Revision: 28}, {Era: 1, Revision: 52}}}))
	})

	It("does not take the first read of a process for a restore", func() {
		_, r, w := follow(Config{RestoreSettle: time.Second}, inEra(5, rowsAt(28, "a")), inEra(5, rowsAt(29, "b")))
		w.step(ctx)
		w.step(ctx)
		Expect(r.events).To(Equal([]string{"replace a", "apply b"}))
		Expect(restored).To(BeEmpty())
	})

	It("reads the table once more when what was lost has been written again", func() {
		// Guards against rows that stay in force for good because the restored table lacked them.
		fake := clock.NewFake(time.Unix(1000, 0))
		s, r, w := follow(Config{Clock: fake, RestoreSettle: 3 * time.Second, LongPollTimeout: time.Minute},
			inEra(1, rowsAt(51, "a")), inEra(2, rowsAt(28, "a")), inEra(2, rowsAt(28, "a")), response{err: ErrHistoryLost}, inEra(2, rowsAt(30, "a")),
			inEra(2, rowsAt(30)), inEra(2, rowsAt(30, "a")), inEra(2, rowsAt(31, "b")))
		for i := range 8 {
			if i == 6 {
				fake.Advance(2 * time.Second)
			}
			if i == 3 {
				fake.Advance(time.Second)
			}
			w.step(ctx)
		}
		Expect(s.calls).To(Equal([]string{"snapshot", "changes", "snapshot", "changes", "snapshot", "changes", "snapshot", "changes"}))
		Expect(r.events).To(Equal([]string{"replace a", "replace recovered restored a", "replace restored a", "replace a", "apply b"}))
		Expect(s.waits[1]).To(BeNumerically("<=", 3*time.Second))
		Expect(s.waits[2]).To(Equal(2 * time.Second))
		Expect(s.waits[3]).To(BeNumerically(">", 3*time.Second))
	})
})

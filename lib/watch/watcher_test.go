package watch

import (
	"context"
	"errors"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/auburnbend/auburnbend/lib/clock"
)

// scriptedSource answers calls with responses in order.
type scriptedSource struct {
	responses []response
	calls     []string
	waits     []time.Duration
	sinces    []int64
}

type response struct {
	rows Rows
	err  error
}

func (s *scriptedSource) next(call string) (Rows, error) {
	s.calls = append(s.calls, call)
	resp := s.responses[0]
	s.responses = s.responses[1:]
	return resp.rows, resp.err
}

func (s *scriptedSource) Snapshot(context.Context) (Rows, error) { return s.next("snapshot") }

func (s *scriptedSource) Changes(_ context.Context, since Position, wait time.Duration) (Rows, error) {
	s.sinces = append(s.sinces, since.Revision)
	s.waits = append(s.waits, wait)
	return s.next("changes")
}

// recordingHandler records what a Watcher delivers.
type recordingHandler struct{ events []string }

func (r *recordingHandler) record(kind string, rows Rows, recovered bool) {
	if recovered {
		kind += " recovered"
	}
	if rows.Restored {
		kind += " restored"
	}
	for _, row := range rows.Rows {
		kind += " " + row.Key
	}
	r.events = append(r.events, kind)
}

func (r *recordingHandler) Replace(rows Rows, recovered bool) { r.record("replace", rows, recovered) }
func (r *recordingHandler) Apply(rows Rows, recovered bool)   { r.record("apply", rows, recovered) }
func (r *recordingHandler) Lost(error)                        { r.events = append(r.events, "lost") }

func rowsAt(revision int64, keys ...string) response {
	resp := response{rows: Rows{Revision: revision}}
	for _, key := range keys {
		resp.rows.Rows = append(resp.rows.Rows, Row{Key: key, Revision: revision})
	}
	return resp
}

var _ = Describe("Watcher", func() {
	down := response{err: errors.New("no answer")}
	historyLost := response{err: ErrHistoryLost}
	follow := func(config Config, responses ...response) (*scriptedSource, *recordingHandler, *Watcher) {
		s, r := &scriptedSource{responses: responses}, &recordingHandler{}
		return s, r, New(config, s, r)
	}
	run := func(responses ...response) (*scriptedSource, *recordingHandler, []time.Duration) {
		s, r, w := follow(Config{}, responses...)
		var delays []time.Duration
		for range responses {
			delays = append(delays, w.step(context.Background()))
		}
		return s, r, delays
	}

	It("reads the table once and then its changes", func() {
		s, r, _ := run(rowsAt(5, "a"), rowsAt(5), rowsAt(7, "b"))
		Expect(s.calls).To(Equal([]string{"snapshot", "changes", "changes"}))
		Expect(r.events).To(Equal([]string{"replace a", "apply b"}))
	})

	It("reads the table again when the history is lost", func() {
		s, r, _ := run(rowsAt(5, "a"), historyLost, rowsAt(9, "b"))
		Expect(s.calls).To(Equal([]string{"snapshot", "changes", "snapshot"}))
		Expect(r.events).To(Equal([]string{"replace a", "replace b"}))
	})

	It("never delivers a state older than one already delivered", func() {
		// Guards against a stale read that undoes a configuration.
		_, r, delays := run(rowsAt(5, "a"), historyLost, rowsAt(4, "old"), rowsAt(6, "b"))
		Expect(r.events).To(Equal([]string{"replace a", "replace b"}))
		Expect(delays[2]).To(BeNumerically(">", 0))
	})

	It("reports an outage once, and its end with the next response", func() {
		// Guards against servers that are dropped because their rows expired during
		// the outage.
		_, r, _ := run(rowsAt(5, "a"), down, down, rowsAt(5), down, historyLost, rowsAt(6, "b"))
		Expect(r.events).To(Equal([]string{"replace a", "lost", "apply recovered", "lost", "replace recovered b"}))
	})

	It("tells relayed deletions of the outage from others", func() {
		// Guards against servers that stay in use because only this instance was cut off when they left.
		deleted := func(r response, relayed Rows) response {
			r.rows.Relayed, r.rows.AfterOutage, r.rows.OutageEnd = true, relayed.AfterOutage, relayed.OutageEnd
			for i := range r.rows.Rows {
				r.rows.Rows[i].Deleted = true
			}
			return r
		}
		during, after := deleted(rowsAt(6, "a"), Rows{AfterOutage: true, OutageEnd: 6}), deleted(rowsAt(7, "b"), Rows{AfterOutage: true, OutageEnd: 6})
		both := after
		both.rows.Rows = append(during.rows.Rows, after.rows.Rows...)
		_, r, _ := run(rowsAt(5, "a", "b"), down, both)
		Expect(r.events).To(Equal([]string{"replace a b", "lost", "apply b", "apply recovered a"}))
		_, r, _ = run(rowsAt(5, "a", "b"), down, deleted(rowsAt(7, "a", "b"), Rows{}))
		Expect(r.events).To(Equal([]string{"replace a b", "lost", "apply a b", "apply recovered"}))
	})

	It("reads the table in full after an outage that is longer than what may be replayed", func() {
		// Guards against configurations that come into force one after another after a cut,
		// each of them read over the link of a region.
		fake := clock.NewFake(time.Unix(1000, 0))
		s, r, w := follow(Config{MaxReplay: 2 * time.Second, Clock: fake},
			rowsAt(5, "a"), down, rowsAt(6, "a"), down, down, rowsAt(90, "a"), rowsAt(91, "a"))
		for _, passed := range []time.Duration{0, time.Second, time.Second, 0, 2 * time.Second, time.Millisecond, time.Hour} {
			fake.Advance(passed)
			w.step(context.Background())
		}
		Expect(s.calls).To(Equal([]string{"snapshot", "changes", "changes", "changes", "changes", "snapshot", "changes"}))
		Expect(r.events).To(Equal([]string{"replace a", "lost", "apply recovered a", "lost", "replace recovered a", "apply a"}))
	})

	It("never delivers an older state with the full read after an outage, and goes on from its revision", func() {
		// Guards against a stale full read that undoes a configuration, and against changes that
		// are lost between the full read and the next call.
		fake := clock.NewFake(time.Unix(1000, 0))
		s, r, w := follow(Config{MaxReplay: time.Second, Clock: fake}, rowsAt(5, "a"), down, rowsAt(4, "old"), rowsAt(8, "b"), rowsAt(9, "c"))
		for range 5 {
			fake.Advance(2 * time.Second)
			w.step(context.Background())
		}
		Expect(s.calls).To(Equal([]string{"snapshot", "changes", "snapshot", "snapshot", "changes"}))
		Expect(r.events).To(Equal([]string{"replace a", "lost", "replace recovered b", "apply c"}))
		Expect(s.sinces).To(Equal([]int64{5, 8}))
	})

	full := func(revision int64, keys ...string) response {
		resp := rowsAt(revision, keys...)
		resp.rows.More = true
		for i := range resp.rows.Rows {
			resp.rows.Rows[i].Data = []byte("data")
		}
		return resp
	}

	It("delivers only the newest row of each key of an answer", func() {
		// Guards against configurations that are put in force one after another although no call has
		// failed: a cut may be shorter than the time after which a waiting call fails.
		responses := []response{rowsAt(5, "a", "b"), rowsAt(20, "a", "b", "a", "a", "a"), rowsAt(31, "b")}
		s, r, w := follow(Config{MaxReplay: time.Second}, responses...)
		for range responses {
			w.step(context.Background())
		}
		Expect(r.events).To(Equal([]string{"replace a b", "apply b a", "apply b"}))
		Expect(s.calls).To(Equal([]string{"snapshot", "changes", "changes"}), "nothing is left to read")

		_, r, w = follow(Config{}, rowsAt(5, "a"), full(9, "a", "a", "a"))
		w.step(context.Background())
		w.step(context.Background())
		Expect(r.events).To(Equal([]string{"replace a", "apply a a a"}), "all changes of other tables")
	})

	DescribeTable("reads the table in full after full answers of rows that later ones replace",
		// Guards against a time that grows with the number of missed changes: an answer of the store
		// holds few configurations of usual size and one large one.
		func(changes []response, calls ...string) {
			responses := append([]response{rowsAt(5, "a", "b")}, changes...)
			s, _, w := follow(Config{MaxReplay: time.Second}, append(responses, rowsAt(90))...)
			for range responses {
				w.step(context.Background())
			}
			w.step(context.Background())
			Expect(s.calls).To(Equal(append([]string{"snapshot"}, calls...)))
		},
		Entry("several in an answer", []response{full(9, "a", "b", "a", "a")}, "changes", "snapshot"),
		Entry("one in each answer", []response{full(9, "a"), full(10, "a")}, "changes", "changes", "snapshot"),
		Entry("not if each is another", []response{full(9, "a"), full(10, "b")}, "changes", "changes", "changes"),
		Entry("not if all was read between them", []response{full(9, "a"), rowsAt(10), full(11, "a")}, "changes", "changes", "changes", "changes"),
	)

	It("reads the changes of any outage if absence tells less than a deletion", func() {
		// Guards against a server that has drained and left during an outage and stays in use.
		fake := clock.NewFake(time.Unix(1000, 0))
		s, _, w := follow(Config{Clock: fake}, rowsAt(5, "a"), down, rowsAt(6))
		for range 3 {
			fake.Advance(time.Hour)
			w.step(context.Background())
		}
		Expect(s.calls).To(Equal([]string{"snapshot", "changes", "changes"}))
	})

	It("does not wait for changes in the first call after a failure", func() {
		// Guards against a call that hangs in an unresponsive store and delays a
		// configuration that was accepted in the meantime: it arrived 3.4 s after it
		// was acknowledged.
		s, _, _ := run(rowsAt(5, "a"), rowsAt(5), down, rowsAt(6), rowsAt(6))
		Expect(s.waits).To(HaveLen(4))
		Expect(s.waits[0]).To(And(BeNumerically(">=", 2*time.Second), BeNumerically("<=", 3*time.Second)))
		Expect(s.waits[2]).To(BeZero())
		Expect(s.waits[3]).To(BeNumerically(">=", 2*time.Second))
	})

	It("increases the delay with each failure, up to a limit", func() {
		// Guards against instances that use up the store's call rate while it is down.
		_, _, delays := run(down, down, down, down, down, down, down)
		for i, delay := range delays {
			longest := min(defaultMinBackoff<<i, defaultMaxBackoff)
			Expect(delay).To(And(BeNumerically(">=", longest/2), BeNumerically("<=", longest)))
		}
	})
})

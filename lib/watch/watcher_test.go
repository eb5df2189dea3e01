package watch

import (
	"context"
	"errors"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// script answers calls in order.
type script struct {
	answers []answer
	calls   []string
	waits   []time.Duration
}

type answer struct {
	rows Rows
	err  error
}

func (s *script) next(call string) (Rows, error) {
	s.calls = append(s.calls, call)
	a := s.answers[0]
	s.answers = s.answers[1:]
	return a.rows, a.err
}

func (s *script) Snapshot(context.Context) (Rows, error) { return s.next("snapshot") }

func (s *script) Changes(_ context.Context, _ int64, wait time.Duration) (Rows, error) {
	s.waits = append(s.waits, wait)
	return s.next("changes")
}

// record notes what a Follower passes on.
type record struct{ events []string }

func (r *record) note(kind string, rows Rows, recovered bool) {
	if recovered {
		kind += " recovered"
	}
	for _, row := range rows.Rows {
		kind += " " + row.Key
	}
	r.events = append(r.events, kind)
}

func (r *record) Replace(rows Rows, recovered bool) { r.note("replace", rows, recovered) }
func (r *record) Apply(rows Rows, recovered bool)   { r.note("apply", rows, recovered) }
func (r *record) Lost(error)                        { r.events = append(r.events, "lost") }

func at(revision int64, keys ...string) answer {
	a := answer{rows: Rows{Revision: revision}}
	for _, key := range keys {
		a.rows.Rows = append(a.rows.Rows, Row{Key: key, Revision: revision})
	}
	return a
}

var _ = Describe("Follower", func() {
	down := answer{err: errors.New("no answer")}
	gone := answer{err: ErrHistoryLost}
	play := func(answers ...answer) (*script, *record, []time.Duration) {
		s, r := &script{answers: answers}, &record{}
		f := New(Config{}, s, r)
		var pauses []time.Duration
		for range answers {
			pauses = append(pauses, f.step(context.Background()))
		}
		return s, r, pauses
	}

	It("reads the table once and then its changes", func() {
		s, r, _ := play(at(5, "a"), at(5), at(7, "b"))
		Expect(s.calls).To(Equal([]string{"snapshot", "changes", "changes"}))
		Expect(r.events).To(Equal([]string{"replace a", "apply b"}))
	})

	It("reads the table again when the history is lost", func() {
		s, r, _ := play(at(5, "a"), gone, at(9, "b"))
		Expect(s.calls).To(Equal([]string{"snapshot", "changes", "snapshot"}))
		Expect(r.events).To(Equal([]string{"replace a", "replace b"}))
	})

	It("never passes on a state older than one that it has passed on", func() {
		// Guards against a stale read that undoes a configuration.
		_, r, pauses := play(at(5, "a"), gone, at(4, "old"), at(6, "b"))
		Expect(r.events).To(Equal([]string{"replace a", "replace b"}))
		Expect(pauses[2]).To(BeNumerically(">", 0))
	})

	It("reports an outage once and its end with the next answer", func() {
		// Guards against servers that are dropped because their rows lapsed in the
		// outage.
		_, r, _ := play(at(5, "a"), down, down, at(5), down, gone, at(6, "b"))
		Expect(r.events).To(Equal([]string{"replace a", "lost", "apply recovered", "lost", "replace recovered b"}))
	})

	It("waits for no change in the first call after a failure", func() {
		// Guards against a call that hangs in a silent store and delays the
		// configuration that was accepted meanwhile: it came 3.4 s after the ack.
		s, _, _ := play(at(5, "a"), at(5), down, at(6), at(6))
		Expect(s.waits).To(HaveLen(4))
		Expect(s.waits[0]).To(And(BeNumerically(">=", 2*time.Second), BeNumerically("<=", 3*time.Second)))
		Expect(s.waits[2]).To(BeZero())
		Expect(s.waits[3]).To(BeNumerically(">=", 2*time.Second))
	})

	It("pauses longer with each failure, up to a bound", func() {
		// Guards against instances that use up the store's rate while it is down.
		_, _, pauses := play(down, down, down, down, down, down, down)
		for i, pause := range pauses {
			most := min(defaultMinBackoff<<i, defaultMaxBackoff)
			Expect(pause).To(And(BeNumerically(">=", most/2), BeNumerically("<=", most)))
		}
	})
})

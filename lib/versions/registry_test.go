package versions_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/auburnbend/auburnbend/lib/versions"
)

var _ = Describe("Registry", func() {
	const timeLimit = 8 * time.Second
	start := time.Unix(1000, 0)

	// Guards against requests that start on weights that must no longer serve.
	It("requires a version once its time limit has passed, and reports when that is", func() {
		r := versions.NewRegistry(timeLimit)
		r.Declare("m", 2, start)
		Expect(r.MinVersion("m", start.Add(7999*time.Millisecond))).To(Equal(0))
		Expect(r.Deadlines("m", start.Add(time.Second))).To(Equal(versions.Deadlines{{Version: 2, At: start.Add(timeLimit)}}))
		Expect(r.MinVersion("m", start.Add(timeLimit))).To(Equal(2))
		Expect(r.Deadlines("m", start.Add(timeLimit))).To(BeEmpty())
		Expect(r.MinVersion("other", start.Add(time.Hour))).To(Equal(0))
	})

	It("applies the time limit to each version from its own declaration", func() {
		r := versions.NewRegistry(timeLimit)
		r.Declare("m", 2, start)
		r.Declare("m", 3, start.Add(4*time.Second))
		Expect(r.Newest("m")).To(Equal(3))
		Expect(r.MinVersion("m", start.Add(8*time.Second))).To(Equal(2))
		Expect(r.MinVersion("m", start.Add(12*time.Second))).To(Equal(3))
	})

	It("ignores older and repeated declarations", func() {
		r := versions.NewRegistry(timeLimit)
		r.Declare("m", 3, start)
		r.Declare("m", 2, start.Add(time.Second))
		r.Declare("m", 3, start.Add(2*time.Second))
		Expect(r.MinVersion("m", start.Add(timeLimit))).To(Equal(3))
	})

	// Guards against a restarted process that allows older weights for the whole
	// time limit again, or for a part of it that is longer than it is out of touch.
	It("requires a version of unknown age from a given time on, however long the time limit is", func() {
		for _, limit := range []time.Duration{timeLimit, 2 * timeLimit, time.Hour} {
			r := versions.NewRegistry(limit)
			from := start.Add(2500 * time.Millisecond)
			r.DeclareBefore("m", 2, from)
			Expect(r.MinVersion("m", from.Add(-time.Millisecond))).To(Equal(0))
			Expect(r.Deadlines("m", start)).To(Equal(versions.Deadlines{{Version: 2, At: from}}))
			Expect(r.MinVersion("m", from)).To(Equal(2))
		}
	})

	It("requires a version of unknown age from a given time on, also if the time limit changes", func() {
		// Guards against older weights that serve again, or for longer, after a restart because the
		// settings name another time limit. The new one may have passed as well.
		for _, limits := range [][2]time.Duration{{timeLimit, time.Hour}, {time.Hour, timeLimit}, {0, timeLimit}} {
			r := versions.NewRegistry(limits[0])
			from := start.Add(2500 * time.Millisecond)
			r.DeclareBefore("m", 2, from)
			r.SetTimeLimit(limits[1])
			Expect(r.MinVersion("m", from.Add(-time.Millisecond))).To(Equal(0))
			Expect(r.Deadline("m", 1)).To(Equal(from))
			Expect(r.MinVersion("m", from)).To(Equal(2))
		}
	})

	It("reports the next change if less is known of the age of a newer version", func() {
		// Guards against requests that are sent to older weights right before the earlier change.
		r := versions.NewRegistry(timeLimit)
		r.Declare("m", 2, start.Add(2*time.Second))
		r.Declare("m", 3, start)
		Expect(r.Deadlines("m", start.Add(2*time.Second))).To(Equal(versions.Deadlines{{Version: 3, At: start.Add(timeLimit)}}))
		Expect(r.MinVersion("m", start.Add(timeLimit))).To(Equal(3))
		Expect(r.Deadlines("m", start.Add(timeLimit))).To(BeEmpty())
	})

	It("reports a deadline for each version, and one for versions of the same age", func() {
		// Guards against requests that wait on the version of the first deadline until the
		// second one has passed. After a disturbance of the store both may be the same.
		r := versions.NewRegistry(timeLimit)
		r.Declare("m", 2, start)
		r.Declare("m", 3, start.Add(500*time.Millisecond))
		r.Declare("m", 4, start.Add(500*time.Millisecond))
		due := r.Deadlines("m", start.Add(time.Second))
		Expect(due).To(Equal(versions.Deadlines{{Version: 2, At: start.Add(timeLimit)}, {Version: 4, At: start.Add(timeLimit + 500*time.Millisecond)}}))
		for version := 1; version <= 4; version++ {
			Expect(due.Of(version)).To(Equal(r.Deadline("m", version)), "version %d", version)
		}
		Expect(due.Of(4)).To(BeZero())
		Expect(r.Deadline("m", 1)).To(Equal(start.Add(timeLimit)))
	})

	It("forgets versions that a newer one has replaced long ago", func() {
		// Guards against requests that take longer the more versions were ever declared: each one
		// took 1 ms of the entry's lock after 20,000.
		r := versions.NewRegistry(timeLimit)
		now := start
		for version := 2; version < 1000; version++ {
			now = now.Add(time.Minute)
			r.Declare("m", version, now)
			Expect(r.MinVersion("m", now.Add(timeLimit-time.Millisecond))).To(Equal(max(2, version-1) * min(1, version-2)))
			Expect(r.MinVersion("m", now.Add(timeLimit))).To(Equal(version))
			Expect(r.Deadline("m", version-1)).To(Equal(now.Add(timeLimit)))
		}
		Expect(r.Declarations("m")).To(BeNumerically("<", 100))
		r.SetTimeLimit(10 * time.Minute)
		Expect(r.MinVersion("m", now)).To(Equal(999-10), "those that a longer time limit may need are kept")
	})

	It("counts the time of a suspension", func() {
		// Guards against older weights that serve longer by the time that the steady clock leaves out.
		r := versions.NewRegistry(timeLimit)
		r.Declare("m", 2, start)
		r.Elapse(3 * time.Second)
		Expect(r.Age("m", start.Add(time.Second))).To(Equal(4 * time.Second))
		Expect(r.MinVersion("m", start.Add(timeLimit-3*time.Second))).To(Equal(2))
	})

	It("requires no version without a time limit", func() {
		r := versions.NewRegistry(0)
		r.Declare("m", 2, start)
		Expect(r.MinVersion("m", start.Add(time.Hour))).To(Equal(0))
	})
})

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
		version, at := r.NextMinVersion("m", start.Add(time.Second))
		Expect(version).To(Equal(2))
		Expect(at).To(Equal(start.Add(timeLimit)))
		Expect(r.MinVersion("m", start.Add(timeLimit))).To(Equal(2))
		version, _ = r.NextMinVersion("m", start.Add(timeLimit))
		Expect(version).To(BeZero())
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
	// time limit again.
	It("assumes that part of the time limit has passed for a version of unknown age", func() {
		r := versions.NewRegistry(timeLimit)
		r.DeclareExisting("m", 2, start)
		Expect(r.MinVersion("m", start.Add(3500*time.Millisecond))).To(Equal(2))
	})

	It("requires no version without a time limit", func() {
		r := versions.NewRegistry(0)
		r.Declare("m", 2, start)
		Expect(r.MinVersion("m", start.Add(time.Hour))).To(Equal(0))
	})
})

package versions_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/auburnbend/auburnbend/lib/versions"
)

var _ = Describe("Wanted", func() {
	const bound = 8 * time.Second
	start := time.Unix(1000, 0)

	It("requires a version from its bound on, and tells when", func() {
		// Guards against requests that begin on weights that must no longer serve.
		w := versions.NewRegistry(bound)
		w.Declare("m", 2, start)
		Expect(w.MinVersion("m", start.Add(7999*time.Millisecond))).To(Equal(0))
		version, at := w.NextMinVersion("m", start.Add(time.Second))
		Expect(version).To(Equal(2))
		Expect(at).To(Equal(start.Add(bound)))
		Expect(w.MinVersion("m", start.Add(bound))).To(Equal(2))
		version, _ = w.NextMinVersion("m", start.Add(bound))
		Expect(version).To(BeZero())
		Expect(w.MinVersion("other", start.Add(time.Hour))).To(Equal(0))
	})

	It("judges each version from its own declaration", func() {
		w := versions.NewRegistry(bound)
		w.Declare("m", 2, start)
		w.Declare("m", 3, start.Add(4*time.Second))
		Expect(w.Newest("m")).To(Equal(3))
		Expect(w.MinVersion("m", start.Add(8*time.Second))).To(Equal(2))
		Expect(w.MinVersion("m", start.Add(12*time.Second))).To(Equal(3))
	})

	It("ignores older and repeated declarations", func() {
		w := versions.NewRegistry(bound)
		w.Declare("m", 3, start)
		w.Declare("m", 2, start.Add(time.Second))
		w.Declare("m", 3, start.Add(2*time.Second))
		Expect(w.MinVersion("m", start.Add(bound))).To(Equal(3))
	})

	It("takes a version of unknown age for partly due", func() {
		// Guards against a restarted process that grants older weights the whole
		// time once more.
		w := versions.NewRegistry(bound)
		w.DeclareExisting("m", 2, start)
		Expect(w.MinVersion("m", start.Add(3500*time.Millisecond))).To(Equal(2))
	})

	It("requires nothing without a bound", func() {
		w := versions.NewRegistry(0)
		w.Declare("m", 2, start)
		Expect(w.MinVersion("m", start.Add(time.Hour))).To(Equal(0))
	})
})

package directory_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/auburnbend/auburnbend/lib/directory"
)

var _ = Describe("The first start of a server", func() {
	const window = 8 * time.Second
	now := time.Unix(1000, 0)
	server := func(id string, start int64) *directory.Server {
		return &directory.Server{ID: id, Address: "10.0.0.1:80", StartUnixMilli: start}
	}
	first := func(d *directory.Directory, id string, start int64, after time.Duration) bool {
		return d.FirstStart(directory.Key{ID: id, StartUnixMilli: start}, window, now.Add(after))
	}
	put := func(d *directory.Directory, after time.Duration, s *directory.Server) {
		d.Apply([]directory.Change{{ID: s.ID, Server: s}}, false, now.Add(after))
	}

	It("is known once the table has been followed for long enough", func() {
		// Guards against an entry that has just started and takes each server for a new one.
		d := directory.New()
		d.Replace(nil, false, now)
		put(d, time.Second, server("b", 5))
		Expect(first(d, "b", 5, window-time.Millisecond)).To(BeFalse())
		Expect(first(d, "b", 5, window)).To(BeTrue())
		Expect(first(d, "b", 6, window)).To(BeFalse(), "another start")
		Expect(first(d, "c", 5, window)).To(BeFalse(), "not listed")
	})

	It("is not a later one, also if the row was removed meanwhile", func() {
		// Guards against a server that starts again under its ID and is taken for a new one.
		d := directory.New()
		d.Replace([]*directory.Server{server("b", 5)}, false, now)
		d.Remove("b", false, now.Add(time.Second))
		put(d, 20*time.Second, server("b", 25))
		Expect(first(d, "b", 25, time.Minute)).To(BeFalse())
	})

	It("stays known if the history of the table was discarded", func() {
		// Guards against a wait after each full list: the store may discard its history often.
		d := directory.New()
		d.Replace(nil, false, now)
		d.Replace([]*directory.Server{server("b", 5)}, false, now.Add(window/2))
		Expect(first(d, "b", 5, window)).To(BeTrue())
	})

	It("is not known after an outage of the store", func() {
		// Guards against an entry that did not see the rows of an earlier start.
		d := directory.New()
		d.Replace(nil, false, now)
		put(d, window, server("b", 5))
		Expect(first(d, "b", 5, window)).To(BeTrue())
		d.Replace([]*directory.Server{server("b", 5)}, true, now.Add(window))
		Expect(first(d, "b", 5, window)).To(BeFalse())
		d.Apply(nil, true, now.Add(2*window))
		Expect(first(d, "b", 5, 2*window)).To(BeFalse())
		Expect(first(d, "b", 5, 3*window)).To(BeTrue())
	})

	It("is known at once if another server had the address for long enough", func() {
		// Guards against a wait after a loss of power of all machines.
		d := directory.New()
		d.Replace([]*directory.Server{server("a", 1000), server("b", 1000+window.Milliseconds())}, false, now)
		Expect(first(d, "b", 1000+window.Milliseconds(), 0)).To(BeTrue())
		Expect(first(d, "a", 1000, 0)).To(BeFalse())
		d = directory.New()
		d.Replace([]*directory.Server{server("a", 1000), server("b", 999+window.Milliseconds())}, false, now)
		Expect(first(d, "b", 999+window.Milliseconds(), 0)).To(BeFalse(), "another one may have been there just before")
	})

	It("is not known by a row of a service that is not declared", func() {
		// Guards against rows of another writer that name the address.
		d := directory.New()
		foreign := server("a", 1000)
		foreign.Service = "other"
		d.SetServices([]string{""})
		d.Replace([]*directory.Server{foreign, server("b", 1000+window.Milliseconds())}, false, now)
		Expect(first(d, "b", 1000+window.Milliseconds(), 0)).To(BeFalse())
		d.SetServices([]string{"", "other"})
		Expect(first(d, "b", 1000+window.Milliseconds(), 0)).To(BeTrue())
	})

	It("is not known of a server whose row names no start", func() {
		// Guards against rows of another writer.
		d := directory.New()
		d.Replace([]*directory.Server{server("b", 0)}, false, now)
		Expect(first(d, "b", 0, time.Minute)).To(BeFalse())
	})
})

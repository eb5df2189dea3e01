package directory_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/auburnbend/auburnbend/lib/directory"
)

var _ = Describe("Directory", func() {
	start := time.Unix(1000, 0)
	server := func(id string) *directory.Server {
		return &directory.Server{ID: id, Service: "orders", Address: "10.0.0.1:80"}
	}
	var d *directory.Directory
	ids := func() []string {
		var list []string
		for _, s := range d.Service("orders") {
			list = append(list, s.ID)
		}
		return list
	}
	BeforeEach(func() {
		d = directory.New()
		d.Replace([]*directory.Server{server("a"), server("b")}, false, start)
	})

	It("drops a server whose row is gone", func() {
		d.Remove("a", false, start)
		Expect(ids()).To(ConsistOf("b"))
		d.Replace([]*directory.Server{server("c")}, false, start)
		Expect(ids()).To(ConsistOf("c"))
	})

	It("keeps a server whose row lapsed in an outage until its grace ends", func() {
		// Guards against an empty directory right after an outage of the store, in
		// which the rows of living servers lapse.
		d.Replace(nil, true, start)
		d.Expire(start.Add(directory.LapseGrace - time.Millisecond))
		Expect(ids()).To(ConsistOf("a", "b"))
		d.Put(server("a"))
		d.Expire(start.Add(directory.LapseGrace))
		Expect(ids()).To(ConsistOf("a"))
	})

	It("does not extend the grace when the row stays away", func() {
		d.Remove("a", true, start)
		d.Remove("a", true, start.Add(time.Second))
		d.Expire(start.Add(directory.LapseGrace))
		Expect(ids()).To(ConsistOf("b"))
	})

	It("gives no grace to a server that was leaving", func() {
		// Guards against requests to a server that has left.
		leaving := server("a")
		leaving.Draining = true
		d.Put(leaving)
		d.Remove("a", true, start)
		Expect(ids()).To(ConsistOf("b"))
	})

	It("finds the last server that started at an address", func() {
		later := server("c")
		later.Born = 5
		d.Put(later)
		Expect(d.At("10.0.0.1:80").ID).To(Equal("c"))
		Expect(d.At("10.0.0.2:80")).To(BeNil())
	})
})

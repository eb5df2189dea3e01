package directory_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/auburnbend/auburnbend/lib/directory"
)

var _ = Describe("A row of a service that is not declared", func() {
	now := time.Unix(1000, 0)
	server := func(id, service, address string, start, revision int64) *directory.Server {
		return &directory.Server{ID: id, Service: service, Address: address, Domain: "north", StartUnixMilli: start, Revision: revision}
	}
	var d *directory.Directory
	BeforeEach(func() {
		d = directory.New()
		d.SetServices([]string{"orders"})
		d.Replace([]*directory.Server{
			server("a", "orders", "10.0.0.1:80", 5, 1), server("b", "orders", "10.0.0.2:80", 5, 2), server("odd", "other", "10.0.0.1:80", 9, 3),
		}, false, now)
	})

	It("does not take the address of a server", func() {
		// Guards against load reports of a sound engine that are ignored because a row of
		// another writer has its address and a later start.
		Expect(d.ByAddress("10.0.0.1:80").ID).To(Equal("a"))
		d.SetServices([]string{"orders", "other"})
		Expect(d.ByAddress("10.0.0.1:80").ID).To(Equal("odd"))
		d.SetServices(nil)
		Expect(d.ByAddress("10.0.0.1:80")).To(BeNil())
	})

	It("is no sign that the rows of servers did not expire in an outage", func() {
		// Guards against dropping all servers at the end of an outage: a row that nobody
		// refreshes is unchanged, as if the store had been available.
		d.Replace([]*directory.Server{server("odd", "other", "10.0.0.1:80", 9, 3)}, true, now)
		Expect(d.ByService("orders")).To(HaveLen(2))
		d.Apply([]directory.Change{{ID: "a"}, {ID: "b"}}, true, now)
		Expect(d.ByService("orders")).To(HaveLen(2))
		d.Expire(now.Add(directory.ExpiryGrace))
		Expect(d.ByService("orders")).To(BeEmpty())
	})
})

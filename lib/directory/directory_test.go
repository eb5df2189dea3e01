package directory_test

import (
	"fmt"
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
		for _, s := range d.ByService("orders") {
			list = append(list, s.ID)
		}
		return list
	}
	BeforeEach(func() {
		d = directory.New()
		d.Replace([]*directory.Server{server("a"), server("b")}, false, start)
	})

	It("drops a server whose row is deleted", func() {
		d.Remove("a", false, start)
		Expect(ids()).To(ConsistOf("b"))
		d.Replace([]*directory.Server{server("c")}, false, start)
		Expect(ids()).To(ConsistOf("c"))
	})

	It("keeps a server whose row expired in an outage until the grace period ends", func() {
		// Guards against an empty directory right after an outage of the store, during
		// which the rows of live servers expire.
		d.Replace(nil, true, start)
		d.Expire(start.Add(directory.ExpiryGrace - time.Millisecond))
		Expect(ids()).To(ConsistOf("a", "b"))
		d.Put(server("a"))
		d.Expire(start.Add(directory.ExpiryGrace))
		Expect(ids()).To(ConsistOf("a"))
	})

	It("does not extend the grace period if the row stays missing", func() {
		both := []directory.Change{{ID: "a"}, {ID: "b"}}
		d.Apply(both, true, start)
		Expect(ids()).To(ConsistOf("a", "b"))
		d.Apply(both, true, start.Add(time.Second))
		d.Put(server("b"))
		d.Expire(start.Add(directory.ExpiryGrace))
		Expect(ids()).To(ConsistOf("b"))
	})

	It("gives no grace period to a draining server", func() {
		// Guards against requests to a stopped server.
		drainingServer := server("a")
		drainingServer.Draining = true
		d.Put(drainingServer)
		d.Replace(nil, true, start)
		Expect(ids()).To(ConsistOf("b"))
	})

	Describe("after an outage for this instance only", func() {
		serverIn := func(id, domain string, revision int64) *directory.Server {
			return &directory.Server{ID: id, Service: "orders", Address: id, Domain: domain, Revision: revision}
		}
		BeforeEach(func() {
			d = directory.New()
			d.Replace([]*directory.Server{serverIn("a", "north", 1), serverIn("b", "north", 2), serverIn("c", "south", 3), serverIn("d", "south", 4), serverIn("e", "west", 5)}, false, start)
		})

		It("drops the servers that stopped meanwhile", func() {
			// Guards against requests to a server that stopped while the entry was cut off:
			// its row was taken for an expired one for two seconds after the entry was
			// reconnected.
			d.Replace([]*directory.Server{serverIn("b", "north", 2), serverIn("c", "south", 3), serverIn("d", "south", 4), serverIn("e", "west", 5)}, true, start)
			Expect(ids()).To(ConsistOf("b", "c", "d", "e"))
			d.Apply([]directory.Change{{ID: "c"}}, true, start)
			Expect(ids()).To(ConsistOf("b", "d", "e"))
		})

		It("drops one that was alone in its failure domain if the rows of other domains are unchanged", func() {
			d.Apply([]directory.Change{{ID: "e"}}, true, start)
			Expect(ids()).NotTo(ContainElement("e"))
		})

		It("keeps the servers of a failure domain whose rows were all deleted or rewritten", func() {
			// Guards against an empty service right after an outage during which the store
			// was unavailable for one failure domain.
			d.Replace([]*directory.Server{serverIn("b", "north", 9), serverIn("c", "south", 3), serverIn("d", "south", 4), serverIn("e", "west", 5)}, true, start)
			Expect(ids()).To(ConsistOf("a", "b", "c", "d", "e"))
			d.Apply([]directory.Change{{ID: "c"}, {ID: "d"}}, true, start)
			Expect(ids()).To(ConsistOf("a", "b", "c", "d", "e"))
		})

		It("never uses a server longer than the bound after it stopped", func() {
			// Tries stop times around the end of the outage.
			const bound = 2 * time.Second
			for offset := -300; offset <= 300; offset += 5 {
				stopped := start.Add(time.Duration(offset) * time.Millisecond)
				d = directory.New()
				d.Replace([]*directory.Server{serverIn("a", "north", 1), serverIn("b", "north", 2)}, false, start.Add(-time.Minute))
				// The entry learns of it when it is reconnected, or half a second after the
				// change.
				learned, recovered := start.Add(time.Second), true
				if stopped.After(start) {
					learned, recovered = stopped.Add(500*time.Millisecond), false
				}
				d.Apply([]directory.Change{{ID: "a"}}, recovered, learned)
				at := stopped.Add(bound)
				if learned.After(at) {
					at = learned
				}
				d.Expire(at)
				Expect(ids()).To(ConsistOf("b"), "stopped %d ms after the end of the outage", offset)
			}
		})
	})

	Describe("with a server that announces its drain", func() {
		draining := func() bool {
			for _, s := range d.ByService("orders") {
				if s.ID == "a" {
					return s.Draining
				}
			}
			return true
		}

		It("lists it as draining regardless of its row, until it restarts", func() {
			// Guards against a draining server that is used again because of a late row, a
			// table read through another entry, or a full list.
			Expect(d.MarkDraining(directory.Key{ID: "a"}, directory.SourceResponse, start)).To(BeTrue())
			Expect(d.MarkDraining(directory.Key{ID: "a"}, directory.SourcePeer, start)).To(BeFalse())
			Expect(draining()).To(BeTrue())
			d.Put(server("a"))
			d.Replace([]*directory.Server{server("a"), server("b")}, true, start)
			Expect(draining()).To(BeTrue())
			d.Remove("a", false, start)
			d.Put(server("a"))
			Expect(draining()).To(BeTrue())
			again := server("a")
			again.StartUnixMilli = 7
			d.Put(again)
			Expect(draining()).To(BeFalse())
			e, known := d.DrainEvidence(directory.Key{ID: "a"})
			Expect(known).To(BeTrue())
			Expect(e).To(Equal(directory.Evidence{Source: directory.SourceResponse, At: start}))
		})

		It("lists it as draining once its row has shown that, whatever later rows say", func() {
			// Guards against a draining server that is used again because of a later row of the same start.
			row := func(draining bool, startUnixMilli int64) []*directory.Server {
				s := server("a")
				s.Draining, s.StartUnixMilli = draining, startUnixMilli
				return []*directory.Server{s}
			}
			d.Replace(row(true, 7), false, start)
			Expect(d.TakeDrainedByRow()).To(ConsistOf(directory.Key{ID: "a", StartUnixMilli: 7}))
			d.Apply([]directory.Change{{ID: "a", Server: row(false, 7)[0]}}, true, start)
			Expect(draining()).To(BeTrue())
			d.Remove("a", false, start)
			d.Replace(row(false, 7), false, start)
			Expect(draining()).To(BeTrue())
			Expect(d.TakeDrainedByRow()).To(BeEmpty())
			d.Replace(row(false, 8), false, start)
			Expect(draining()).To(BeFalse())
			d.Replace(row(true, 0), false, start)
			d.Replace(row(false, 0), false, start)
			Expect(draining()).To(BeFalse(), "rows without a start")
		})

		It("drops it at once if its row has expired", func() {
			d.Replace(nil, true, start)
			d.MarkDraining(directory.Key{ID: "a"}, directory.SourceResponse, start)
			Expect(ids()).To(ConsistOf("b"))
		})

		It("shares it as long as the server is listed, and for a while after that", func() {
			d.MarkDraining(directory.Key{ID: "a"}, directory.SourceResponse, start)
			d.MarkDraining(directory.Key{ID: "gone"}, directory.SourceResponse, start)
			Expect(d.DrainingToShare(start, 10)).To(ConsistOf(directory.Key{ID: "a"}, directory.Key{ID: "gone"}))
			Expect(d.DrainingToShare(start.Add(1), 10)).To(ConsistOf(directory.Key{ID: "a"}))
			d.Remove("a", false, start)
			Expect(d.DrainingToShare(start.Add(1), 10)).To(BeEmpty())
		})

		It("bounds what it remembers", func() {
			for i := range 5000 {
				d.MarkDraining(directory.Key{ID: fmt.Sprint(i)}, directory.SourcePeer, start.Add(time.Duration(i)))
			}
			Expect(d.DrainingToShare(start, 10_000)).To(HaveLen(4096))
			Expect(d.DrainingToShare(start.Add(4999), 10)).To(ConsistOf(directory.Key{ID: "4999"}))
		})
	})

	It("finds the server that started last at an address", func() {
		later := server("c")
		later.StartUnixMilli = 5
		d.Put(later)
		Expect(d.ByAddress("10.0.0.1:80").ID).To(Equal("c"))
		Expect(d.ByAddress("10.0.0.2:80")).To(BeNil())
	})
})

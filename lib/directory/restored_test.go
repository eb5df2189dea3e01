package directory_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/auburnbend/auburnbend/lib/directory"
)

var _ = Describe("Directory of a store that is restored", func() {
	const removalTime = 5 * time.Second
	start := time.Unix(1000, 0)
	var d *directory.Directory
	row := func(id string, started, era, revision int64, draining bool) *directory.Server {
		return &directory.Server{ID: id, Service: "orders", Address: "10.0.0.1:80", Domain: "north", StartUnixMilli: started, Era: era, Revision: revision, Draining: draining}
	}
	ready := func(id string, started, era, revision int64) *directory.Server {
		return row(id, started, era, revision, false)
	}
	// usable returns the servers that get requests.
	usable := func(after time.Duration) []string {
		d.Expire(start.Add(after))
		var list []string
		for _, s := range d.ByService("orders") {
			if !s.Draining {
				list = append(list, fmt.Sprint(s.ID, s.StartUnixMilli))
			}
		}
		return list
	}
	BeforeEach(func() {
		d = directory.New()
		d.Replace([]*directory.Server{ready("a", 1, 1, 10), ready("b", 1, 1, 40)}, false, start)
	})

	It("keeps servers that the restored table lacks, although others are unchanged", func() {
		// Guards against servers that get no requests because they registered after the state to
		// which the store went back. An unchanged row says nothing about them.
		d.Restore([]*directory.Server{ready("a", 1, 2, 10)}, removalTime, start)
		Expect(usable(directory.ExpiryGrace - 1)).To(ConsistOf("a1", "b1"))
		d.Apply([]directory.Change{{ID: "b", Server: ready("b", 1, 2, 13)}}, false, start.Add(time.Second))
		Expect(usable(directory.ExpiryGrace)).To(ConsistOf("a1", "b1"))
	})

	It("keeps them until then if the table is read in full once more", func() {
		// Guards against servers that get no requests because the history of the table was lost
		// again before their rows were written again.
		d.Restore([]*directory.Server{ready("a", 1, 2, 10)}, removalTime, start)
		d.Replace([]*directory.Server{ready("a", 1, 2, 10)}, false, start.Add(time.Second))
		Expect(usable(directory.ExpiryGrace - 1)).To(ConsistOf("a1", "b1"))
		Expect(usable(directory.ExpiryGrace)).To(ConsistOf("a1"))
	})

	It("drops them if they are not written again", func() {
		d.Restore([]*directory.Server{ready("a", 1, 2, 10)}, removalTime, start)
		Expect(usable(directory.ExpiryGrace)).To(ConsistOf("a1"))
	})

	It("withholds a server whose row had been removed until the row is written anew", func() {
		// Guards against requests to a server that has left and is listed again.
		d.Remove("b", false, start)
		d.Restore([]*directory.Server{ready("a", 1, 2, 10), ready("b", 1, 2, 40)}, removalTime, start)
		Expect(usable(removalTime - 1)).To(ConsistOf("a1"))
		d.Replace([]*directory.Server{ready("a", 1, 2, 10), ready("b", 1, 2, 40)}, false, start.Add(time.Second))
		Expect(usable(removalTime-1)).To(ConsistOf("a1"), "the same row")
		d.Apply([]directory.Change{{ID: "b", Server: ready("b", 1, 2, 30)}}, false, start.Add(time.Second))
		Expect(usable(time.Second)).To(ConsistOf("a1", "b1"))
	})

	It("withholds it for as long as the store keeps the row of a silent server", func() {
		// Guards against a server that gets no requests for good: a live one does not write its row
		// again if nothing in it has changed.
		d.Remove("b", false, start)
		d.Restore([]*directory.Server{ready("a", 1, 2, 10), ready("b", 1, 2, 40)}, removalTime, start)
		Expect(usable(removalTime)).To(ConsistOf("a1", "b1"))
	})

	It("forgets a withheld server when its row is removed", func() {
		d.Remove("b", false, start)
		d.Restore([]*directory.Server{ready("b", 1, 2, 40)}, removalTime, start)
		d.Remove("b", false, start)
		Expect(usable(removalTime)).To(BeEmpty())
		d.Remove("b", false, start)
		d.Restore([]*directory.Server{ready("b", 1, 3, 40)}, removalTime, start)
		d.Replace(nil, false, start)
		Expect(usable(removalTime)).To(BeEmpty())
	})

	It("withholds an incarnation that another one had replaced, and keeps the latter", func() {
		// Guards against requests to the address of a server that has ended.
		d.Apply([]directory.Change{{ID: "a", Server: ready("a", 2, 1, 50)}}, false, start)
		d.Restore([]*directory.Server{ready("a", 1, 2, 10), ready("b", 1, 2, 40)}, removalTime, start)
		Expect(usable(directory.ExpiryGrace - 1)).To(ConsistOf("a2", "b1"))
		d.Apply([]directory.Change{{ID: "a", Server: ready("a", 2, 2, 41)}}, false, start.Add(time.Second))
		Expect(usable(removalTime)).To(ConsistOf("a2", "b1"))
	})

	It("keeps the later incarnation when the row of the one that it had replaced is removed", func() {
		// Guards against a live server that gets no requests from the removal of the row of its
		// earlier start until it writes its own again.
		d.Apply([]directory.Change{{ID: "a", Server: ready("a", 2, 1, 50)}}, false, start)
		d.Restore([]*directory.Server{ready("a", 1, 2, 10), ready("b", 1, 2, 40)}, removalTime, start)
		d.Remove("a", false, start.Add(time.Second))
		Expect(usable(directory.ExpiryGrace - 1)).To(ConsistOf("a2", "b1"))
		Expect(usable(removalTime)).To(ConsistOf("b1"))
	})

	It("drops it at once when the row is written anew and removed", func() {
		d.Apply([]directory.Change{{ID: "a", Server: ready("a", 2, 1, 50)}}, false, start)
		d.Restore([]*directory.Server{ready("a", 1, 2, 10), ready("b", 1, 2, 40)}, removalTime, start)
		d.Apply([]directory.Change{{ID: "a", Server: ready("a", 2, 2, 41)}, {ID: "a"}}, false, start.Add(time.Second))
		Expect(usable(time.Second)).To(ConsistOf("b1"))
	})

	It("keeps the weights that an engine has taken since the restored state", func() {
		// Guards against engines that get no requests because their restored rows name weights
		// that had been replaced.
		weights := func(started, era, revision int64, w directory.Weights) *directory.Server {
			s := ready("a", started, era, revision)
			s.Weights = map[string]directory.Weights{"m": w}
			return s
		}
		listed := func() directory.Weights { return d.ByService("orders")[0].Weights["m"] }
		for _, started := range []int64{0, 7} {
			d = directory.New()
			d.Replace([]*directory.Server{weights(started, 1, 10, directory.Weights{Version: 1, Complete: true})}, false, start)
			d.Update(weights(started, 1, 10, directory.Weights{Version: 2, Complete: true}))
			restored := weights(started, 2, 10, directory.Weights{Version: 1, Complete: true})
			d.Restore([]*directory.Server{restored}, removalTime, start)
			if started == 0 {
				Expect(listed().Version).To(Equal(1), "it may have started again")
				continue
			}
			Expect(listed()).To(Equal(directory.Weights{Version: 2, Complete: true}))
			Expect(restored.Weights["m"].Version).To(Equal(1), "not changed")
			d.Restore([]*directory.Server{ready("a", started, 2, 10)}, removalTime, start)
			Expect(listed().Version).To(Equal(2), "from before it had any")
			d.Restore([]*directory.Server{weights(started, 3, 12, directory.Weights{Version: 2})}, removalTime, start)
			Expect(listed()).To(Equal(directory.Weights{Version: 2}), "no longer complete")
		}
	})

	It("lists a row that was written after the removal that it knows", func() {
		// Guards against servers that are withheld although they registered again unnoticed.
		d.Remove("b", false, start)
		d.Restore([]*directory.Server{ready("b", 1, 2, 45)}, removalTime, start)
		Expect(usable(0)).To(ContainElement("b1"))
	})

	DescribeTable("does not revoke a drain by a row from before it",
		func(started int64) {
			// Guards against requests to a draining server that the restored table shows as ready.
			d.Apply([]directory.Change{{ID: "b", Server: row("b", started, 1, 50, true)}}, false, start)
			d.Restore([]*directory.Server{ready("a", 1, 2, 10), ready("b", started, 2, 40)}, removalTime, start)
			Expect(usable(0)).To(ConsistOf("a1"))
			d.Replace([]*directory.Server{ready("a", 1, 2, 10), ready("b", started, 2, 40)}, false, start)
			Expect(usable(removalTime)).To(ConsistOf("a1"))
			d.Apply([]directory.Change{{ID: "b", Server: row("b", started, 2, 42, true)}}, false, start)
			Expect(usable(removalTime)).To(ConsistOf("a1"))
		},
		Entry("of a server that names its start", int64(2)),
		Entry("of one that does not", int64(0)),
	)

	It("withholds again after a second restore", func() {
		d.Remove("b", false, start)
		d.Restore([]*directory.Server{ready("b", 1, 2, 40)}, removalTime, start)
		d.Restore([]*directory.Server{ready("b", 1, 3, 40)}, removalTime, start.Add(4*time.Second))
		Expect(usable(removalTime + 3*time.Second)).To(BeEmpty())
		Expect(usable(removalTime + 4*time.Second)).To(ConsistOf("b1"))
	})

	It("remembers a limited number of removed rows", func() {
		// Guards against memory that grows with the servers that ever were.
		for i := range 10_000 {
			id := fmt.Sprint("s", i)
			at := start.Add(time.Duration(i) * time.Millisecond)
			d.Apply([]directory.Change{{ID: id, Server: ready(id, 1, 1, 1)}, {ID: id}}, false, at)
		}
		Expect(d.EndedCount()).To(BeNumerically("<=", 4096))
		d.Restore([]*directory.Server{ready("s0", 1, 2, 1), ready("s9999", 1, 2, 1)}, removalTime, start)
		Expect(usable(0)).To(ContainElement("s01"))
		Expect(usable(0)).NotTo(ContainElement("s99991"))
	})
})

package directory_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/auburnbend/auburnbend/lib/directory"
)

var _ = Describe("The first start of a server", func() {
	It("is not known right after the store was restored", func() {
		// Guards against an engine that takes a version again at once, as its earlier start under
		// the ID was in a row that the store has lost.
		const window = 8 * time.Second
		now := time.Unix(1000, 0)
		d := directory.New()
		d.Replace(nil, false, now)
		server := &directory.Server{ID: "a", Service: "s", Address: "127.0.0.1:1", Domain: "north", StartUnixMilli: 5, Revision: 1}
		d.Apply([]directory.Change{{ID: "a", Server: server}}, false, now.Add(window))
		Expect(d.FirstStart(server.Key(), window, now.Add(window))).To(BeTrue())
		restored := *server
		restored.Era = 1
		d.Restore([]*directory.Server{&restored}, time.Second, now.Add(window))
		Expect(d.FirstStart(server.Key(), window, now.Add(window))).To(BeFalse())
		Expect(d.FirstStart(server.Key(), window, now.Add(2*window))).To(BeTrue())
	})
})

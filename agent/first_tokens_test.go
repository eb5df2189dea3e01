package agent

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/auburnbend/auburnbend/agent/transfer"
	"github.com/auburnbend/auburnbend/lib/clock"
)

var _ = Describe("Times to first token", func() {
	start := time.Unix(1000, 0)

	It("are averaged over the window", func() {
		var f firstTokens
		Expect(f.mean(start)).To(BeZero())
		f.start(start)(start.Add(100*time.Millisecond), true)
		f.start(start)(start.Add(300*time.Millisecond), true)
		f.start(start)(start.Add(time.Second), false)
		Expect(f.mean(start.Add(time.Second))).To(Equal(200 * time.Millisecond))
		Expect(f.mean(start.Add(time.Minute))).To(BeZero())
	})

	// Guards against transfers that keep their link share because requests that get no
	// token at all are not counted.
	It("include requests that are still waiting", func() {
		var f firstTokens
		done := f.start(start)
		Expect(f.mean(start.Add(5 * time.Second))).To(Equal(5 * time.Second))
		done(start.Add(6*time.Second), true)
		done(start.Add(60*time.Second), true)
		Expect(f.mean(start.Add(6 * time.Second))).To(Equal(6 * time.Second))
	})

	// Guards against transfers that delay live requests.
	It("reduce the link share of transfers while requests are slow and restore it after", func() {
		c := clock.NewFake(start)
		a := &Agent{cfg: Config{Clock: c}, transfer: transfer.New(transfer.Config{Clock: c, Seed: 1, DownloadRate: 1 << 20})}
		DeferCleanup(a.transfer.Close)
		full := a.transfer.Progress().LinkShare
		done := a.firstTokens.start(c.Now())
		for range 4 {
			c.Advance(2 * time.Second)
			a.adjustLinkShare()
		}
		slow := a.transfer.Progress().LinkShare
		Expect(slow).To(BeNumerically("<", full/2))
		done(c.Now(), true)
		for range 60 {
			c.Advance(2 * time.Second)
			a.adjustLinkShare()
		}
		Expect(a.transfer.Progress().LinkShare).To(BeNumerically("~", full, 1e-9))
	})
})

package follow_test

import (
	"bytes"
	"context"
	"math/rand"
	"time"

	"github.com/go-kit/log"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/auburnbend/auburnbend/lib/clock"
	"github.com/auburnbend/auburnbend/lib/config"
	"github.com/auburnbend/auburnbend/lib/eventlog"
	"github.com/auburnbend/auburnbend/lib/follow"
	"github.com/auburnbend/auburnbend/lib/wire"
	"github.com/auburnbend/auburnbend/standin/table"
)

var _ = Describe("A follower", func() {
	// Guards against a failure domain that is cut off without a sign of it.
	It("reports once that its configuration is not confirmed any more", func() {
		var lines bytes.Buffer
		reports := func() int { return bytes.Count(lines.Bytes(), []byte("event=2003 ")) }
		now := clock.NewFake(time.Unix(1000, 0))
		f := follow.New(follow.Config{
			Clock: now, Rand: rand.New(rand.NewSource(1)), Log: eventlog.New(log.NewLogfmtLogger(&lines)),
			Heartbeat: func() wire.Heartbeat { return wire.Heartbeat{} },
		})
		pass := func(d time.Duration) {
			for range d / time.Second {
				now.Advance(time.Second)
				f.Tick()
			}
		}
		pass(time.Minute)
		Expect(reports()).To(BeZero(), "nothing is declared yet")

		declared, err := config.Parse([]byte("[tenant engravers]\nshare = 1\n"))
		Expect(err).NotTo(HaveOccurred())
		store := config.NewStore(table.New(), config.StoreConfig{Clock: now})
		accepted, err := store.Apply(context.Background(), config.Request{Config: declared, Operation: "first", Author: "ops"})
		Expect(err).NotTo(HaveOccurred())
		f.Accepted(accepted.EncodedRevision)
		confirm := func() {
			f.HandleHeartbeat(config.PeerID{Instance: "e1"}, &wire.Heartbeat{ConfigRevision: accepted.Head.Number, ConfigDigest: accepted.Head.Digest})
			f.Tick()
		}
		confirm()
		for range 10 {
			pass(9 * time.Second)
			confirm()
		}
		Expect(f.Current()).NotTo(BeNil())
		Expect(reports()).To(BeZero())
		pass(time.Minute)
		Expect(reports()).To(Equal(1))
		confirm()
		pass(time.Minute)
		Expect(reports()).To(Equal(2))
	})
})

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

var _ = Describe("Follower", func() {
	// Guards against a failure domain that loses contact with the store without a
	// log line.
	It("logs once that its configuration is no longer confirmed", func() {
		var logs bytes.Buffer
		staleEvents := func() int { return bytes.Count(logs.Bytes(), []byte("event=2003 ")) }
		fakeClock := clock.NewFake(time.Unix(1000, 0))
		f := follow.New(follow.Config{
			Clock: fakeClock, Rand: rand.New(rand.NewSource(1)), Log: eventlog.New(log.NewLogfmtLogger(&logs)),
			Heartbeat: func() wire.Heartbeat { return wire.Heartbeat{} },
		})
		advance := func(d time.Duration) {
			for range d / time.Second {
				fakeClock.Advance(time.Second)
				f.Tick()
			}
		}
		advance(time.Minute)
		Expect(staleEvents()).To(BeZero(), "no configuration applied yet")

		declared, err := config.Parse([]byte("[tenant engravers]\nshare = 1\n"))
		Expect(err).NotTo(HaveOccurred())
		store := config.NewStore(table.New(), config.StoreConfig{Clock: fakeClock})
		accepted, err := store.Apply(context.Background(), config.Request{Config: declared, Operation: "first", Author: "ops"})
		Expect(err).NotTo(HaveOccurred())
		f.ApplyAccepted(accepted.EncodedRevision)
		confirm := func() {
			f.HandleHeartbeat(config.PeerID{Instance: "e1"}, &wire.Heartbeat{ConfigRevision: accepted.Head.Number, ConfigDigest: accepted.Head.Digest})
			f.Tick()
		}
		confirm()
		for range 10 {
			advance(9 * time.Second)
			confirm()
		}
		Expect(f.Current()).NotTo(BeNil())
		Expect(staleEvents()).To(BeZero())
		advance(time.Minute)
		Expect(staleEvents()).To(Equal(1))
		confirm()
		advance(time.Minute)
		Expect(staleEvents()).To(Equal(2))
	})
})

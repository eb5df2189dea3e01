package gateway

import (
	"context"
	"fmt"
	"net"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/auburnbend/auburnbend/lib/clock"
	"github.com/auburnbend/auburnbend/lib/directory"
	"github.com/auburnbend/auburnbend/lib/eventlog"
	"github.com/auburnbend/auburnbend/lib/placement"
	"github.com/auburnbend/auburnbend/lib/serving"
)

var _ = Describe("Entries of a region", func() {
	engine := &serving.Engine{
		Slots: 8, StepTime: 13 * time.Millisecond, PrefillRate: 12700, StepsPerPass: 5, ChunkTokens: 2048, UsualPrompt: 900, UsualAnswer: 75,
	}
	demand := placement.Request{
		Service: "drafts", Engine: engine, Model: "m", PromptTokens: 900, OutputTokens: 75,
		LatencyTarget: 800 * time.Millisecond, Remaining: 6 * time.Second,
	}
	const servers = 6

	// region starts entries that know each other and the engines.
	region := func(n int) []*PeerLink {
		conn, err := net.ListenPacket("udp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		port := conn.LocalAddr().(*net.UDPAddr).Port
		conn.Close()
		var loads []*PeerLink
		var addresses []string
		for i := range n {
			g := New(Config{Clock: clock.System{}, Log: eventlog.Discard(), Placement: placement.Config{Domain: "north", Regions: map[string]string{"north": "n"}}})
			g.SetConfig(&serving.Config{Version: 1, Services: []serving.Service{{Name: "drafts", Engine: engine}}})
			address := fmt.Sprintf("127.0.0.%d", 10+i)
			l, err := NewPeerLink(g, address, "n", address, port, uint64(i+1))
			Expect(err).NotTo(HaveOccurred())
			addresses = append(addresses, l.self.String())
			loads = append(loads, l)
			g.UpdateServers(func(d *directory.Directory, _ time.Time) {
				for s := range servers {
					d.Put(&directory.Server{
						ID: fmt.Sprintf("s%d", s), Service: "drafts", Address: fmt.Sprintf("127.0.1.%d:%d", s+1, port), Domain: "north", Slots: 8,
						Weights: map[string]directory.Weights{"m": {Version: 1, Complete: true}},
					})
				}
			})
			for s := range servers {
				g.Report(directory.Key{ID: fmt.Sprintf("s%d", s)}, placement.Load{})
			}
		}
		ctx, stop := context.WithCancel(context.Background())
		DeferCleanup(stop)
		for _, l := range loads {
			l.members.learn(addresses, time.Now())
			go l.receive(ctx)
			DeferCleanup(func() { _ = l.conn.Close() })
		}
		return loads
	}
	// placer returns the position of an entry in the order of the region.
	byRank := func(loads []*PeerLink, rank int) *PeerLink {
		address := loads[0].Rank(placing)[rank]
		for _, l := range loads {
			if l.self == address {
				return l
			}
		}
		return nil
	}

	It("get places from one of them, which knows all", func() {
		// Guards against entries that choose the same engine at the same moment, as
		// each knows only its own requests.
		loads := region(4)
		placer := byRank(loads, 0)
		counts := make(map[string]int)
		for i := range 4 * servers {
			l := loads[i%len(loads)]
			if l == placer {
				continue
			}
			granted, refusal, _ := l.ask(context.Background(), &demand)
			Expect(refusal).To(BeNil())
			Expect(granted).NotTo(BeNil())
			Expect(granted.by).To(Equal(placer.self))
			counts[granted.server.ID]++
		}
		Expect(counts).To(HaveLen(servers))
		for _, n := range counts {
			Expect(n).To(Equal(3))
		}
	})

	It("give their places back", func() {
		loads := region(3)
		placer, other := byRank(loads, 0), byRank(loads, 2)
		granted, _, _ := other.ask(context.Background(), &demand)
		Expect(granted).NotTo(BeNil())
		other.end(granted, placement.Answered)
		Eventually(func() int {
			placer.gateway.mu.Lock()
			defer placer.gateway.mu.Unlock()
			return placer.gateway.granted.Len()
		}).Should(BeZero())
	})

	It("ask the next one while the first does not answer, and place by themselves at last", func() {
		// Guards against requests that wait for an entry which is gone.
		loads := region(3)
		first, second, other := byRank(loads, 0), byRank(loads, 1), byRank(loads, 2)
		first.conn.Close()
		granted, _, _ := other.ask(context.Background(), &demand)
		Expect(granted).NotTo(BeNil())
		Expect(granted.by).To(Equal(second.self))
		second.conn.Close()
		granted, refusal, _ := other.ask(context.Background(), &demand)
		Expect(granted).To(BeNil())
		Expect(refusal).To(BeNil())
		_, _, ok := other.queries.begin(first.self, time.Now())
		Expect(ok).To(BeFalse(), "an entry that did not answer is left alone for a while")
	})

	It("do not place for others when they leave or know no loads", func() {
		loads := region(3)
		first, second, other := byRank(loads, 0), byRank(loads, 1), byRank(loads, 2)
		first.gateway.Drain()
		granted, _, _ := other.ask(context.Background(), &demand)
		Expect(granted).NotTo(BeNil())
		Expect(granted.by).To(Equal(second.self))
	})

	It("do not send to a server that they know to leave", func() {
		// Guards against requests to a leaving server because the entry that places
		// them has not learned of it yet.
		loads := region(2)
		other := byRank(loads, 1)
		granted, _, _ := other.ask(context.Background(), &demand)
		Expect(granted).NotTo(BeNil())
		other.gateway.UpdateServers(func(d *directory.Directory, _ time.Time) {
			left := *d.Get(granted.server)
			left.Draining = true
			d.Put(&left)
		})
		Expect(other.gateway.adopt(granted, &demand)).To(BeNil())
	})

	It("share the retry budget of their region", func() {
		l := region(2)[0]
		l.gateway.config.Placement.Regions = map[string]string{"north": "n", "south": "s", "west": "w"}
		Expect(l.members.count() * l.gateway.regions()).To(Equal(6))
	})
})

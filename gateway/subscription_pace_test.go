package gateway

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/auburnbend/auburnbend/lib/clock"
	"github.com/auburnbend/auburnbend/lib/directory"
	"github.com/auburnbend/auburnbend/lib/eventlog"
	"github.com/auburnbend/auburnbend/lib/placement"
	"github.com/auburnbend/auburnbend/lib/serving"
	"github.com/auburnbend/auburnbend/peerlink"
)

var _ = Describe("The pace of subscriptions", func() {
	start := time.Unix(1000, 0)
	later := start.Add(fastRenewalTime)

	It("keeps the subscriptions that an agent gets a second from growing with its region", func() {
		// Guards against agents and entries of large regions that exchange datagrams with the
		// product of their numbers.
		p := newSubscriptionPace(start)
		for members := 1; members <= 60; members++ {
			interval := p.interval(false, members, 100, later)
			Expect(interval).To(BeNumerically(">=", subscribeInterval))
			Expect(interval).To(BeNumerically("<=", maxSubscribeInterval))
			Expect(float64(members) / interval.Seconds()).To(BeNumerically("<=", 20))
		}
		Expect(p.interval(false, 30, 18, later)).To(Equal(3 * time.Second))
	})

	It("lets agents name the entries three times a second, or each of them each second", func() {
		// Guards against entries that expire between two reports of the only agent of their
		// region.
		p := newSubscriptionPace(start)
		for engines := range 100 {
			interval := p.interval(false, 200, engines, later)
			if interval > subscribeInterval {
				Expect(float64(engines) / interval.Seconds()).To(BeNumerically(">=", 3))
			}
		}
	})

	It("is the shortest for entries with a duty, and after a start or a request placed alone", func() {
		// Guards against placing and reading entries whose end the others notice later, and
		// against requests that are placed with old reports.
		p := newSubscriptionPace(start)
		Expect(p.interval(true, 30, 18, later)).To(Equal(subscribeInterval))
		Expect(p.interval(false, 30, 18, later.Add(-1))).To(Equal(subscribeInterval))
		Expect(p.interval(false, 30, 18, later)).To(Equal(3 * subscribeInterval))
		Expect(p.renewFast(later)).To(BeTrue())
		Expect(p.renewFast(later)).To(BeFalse())
		Expect(p.interval(false, 30, 18, later)).To(Equal(subscribeInterval))
		Expect(p.interval(false, 30, 18, later.Add(fastRenewalTime))).To(Equal(3 * subscribeInterval))
	})

	It("follows the duties of an entry", func() {
		self := netip.MustParseAddrPort("10.0.0.1:7700")
		m := newMembers(self)
		// An entry that has just started knows no other one.
		m.rank("read/any", start)
		Expect(m.hasDuty(start)).To(BeFalse())
		m.observe([]string{"10.0.0.2:7700", "10.0.0.3:7700", "10.0.0.4:7700"}, start)
		now := start.Add(rankRefreshInterval)
		first, other := "", ""
		for i := 0; first == "" || other == ""; i++ {
			key := fmt.Sprint("read/", i)
			if m.rankServing(key, now)[0] == self {
				first = key
				continue
			}
			other = key
		}
		m.rank(other, now)
		Expect(m.hasDuty(now)).To(BeFalse())
		m.rank(first, now)
		Expect(m.hasDuty(now.Add(dutyMemory))).To(BeTrue())
		Expect(m.hasDuty(now.Add(dutyMemory + 1))).To(BeFalse())
	})

	It("changes at once when no placer answers", func() {
		// Guards against an entry that places its requests with reports of engines that are
		// several seconds old, for as long.
		const engines = 9
		regionOf := map[string]string{"north": "n"}
		g := New(Config{Clock: clock.System{}, Log: eventlog.Discard(), Placement: placement.Config{Domain: "north", Regions: regionOf}})
		engine := &serving.Engine{Slots: 8, StepTime: time.Millisecond, PrefillTokensPerSecond: 1000}
		g.SetConfig(&serving.Config{Version: 1, Services: []serving.Service{{Name: "drafts", Engine: engine}}})
		// The agent of all engines.
		agent, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 2, 1)})
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(agent.Close)
		port := agent.LocalAddr().(*net.UDPAddr).Port
		var silent []string
		for i := range 30 {
			silent = append(silent, fmt.Sprintf("127.0.3.%d:%d", i+1, port))
		}
		// It must not be a placer itself, which its address decides.
		var l *PeerLink
		for host := 2; l == nil; host++ {
			candidate, err := NewPeerLink(g, "self", "n", fmt.Sprintf("127.0.2.%d", host), port, 1)
			Expect(err).NotTo(HaveOccurred())
			candidate.members.observe(silent, time.Now())
			if candidate.isPlacer() {
				Expect(candidate.conn.Close()).To(Succeed())
				continue
			}
			l = candidate
		}
		g.UpdateServers(func(d *directory.Directory, _ time.Time) {
			for i := range engines {
				d.Put(&directory.Server{ID: fmt.Sprint(i), Service: "drafts", Address: fmt.Sprintf("127.0.2.1:%d", 9000+i), Domain: "north", Slots: 8})
			}
		})
		l.pace = newSubscriptionPace(time.Now().Add(-fastRenewalTime))
		l.markWarm()
		Expect(l.isPlacer()).To(BeFalse())
		ctx, stop := context.WithCancel(context.Background())
		DeferCleanup(stop)
		go l.Run(ctx)
		next := func() *peerlink.Subscription {
			buf := make([]byte, maxDatagramBytes)
			Expect(agent.SetReadDeadline(time.Now().Add(2 * maxSubscribeInterval))).To(Succeed())
			n, err := agent.Read(buf)
			Expect(err).NotTo(HaveOccurred())
			var d peerlink.Datagram
			Expect(msgpack.Unmarshal(buf[:n], &d)).To(Succeed())
			return d.Subscription
		}
		Expect(next().IntervalMillis).To(Equal(maxSubscribeInterval.Milliseconds()))
		granted, refusal, _ := l.requestPlacement(ctx, &placement.Request{Service: "drafts", Engine: engine})
		Expect(granted).To(BeNil())
		Expect(refusal).To(BeNil())
		asked := time.Now()
		for next().IntervalMillis != subscribeInterval.Milliseconds() {
		}
		Expect(time.Since(asked)).To(BeNumerically("<", subscribeInterval/2))
	})
})

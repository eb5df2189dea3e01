package gateway

import (
	"context"
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/auburnbend/auburnbend/lib/directory"
	"github.com/auburnbend/auburnbend/lib/placement"
	"github.com/auburnbend/auburnbend/lib/ratelimit"
	"github.com/auburnbend/auburnbend/lib/serving"
	"github.com/auburnbend/auburnbend/peerlink"
)

var _ = Describe("Placement by the entries of a region", func() {
	req := regionRequest
	const servers = regionServers

	It("is done by the placer, which knows all placements", func() {
		// Guards against entries that choose the same engine at the same moment because
		// each knows only its own requests.
		links := startRegion(4)
		placer := byRank(links, 0)
		counts := make(map[string]int)
		for i := range 4 * servers {
			l := links[i%len(links)]
			if l == placer {
				continue
			}
			granted, refusal, _ := l.requestPlacement(context.Background(), &req)
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

	It("keeps to the regions that may serve a request", func() {
		// Guards against a placing entry that does not know them, and against an entry that
		// uses a lease outside of them.
		links := startRegion(3)
		other := byRank(links, 2)
		elsewhere := req
		elsewhere.Homes = serving.Homes{Restricted: true, Regions: []string{"s"}}
		granted, refusal, by := other.requestPlacement(context.Background(), &elsewhere)
		Expect(granted).To(BeNil())
		Expect(by).To(Equal(byRank(links, 0).self))
		Expect(refusal.Reason).To(Equal(placement.NoHome))
		granted, _, _ = other.requestPlacement(context.Background(), &req)
		Expect(granted).NotTo(BeNil())
		Expect(other.gateway.adopt(granted, &elsewhere)).To(BeNil())
		Expect(other.gateway.adopt(granted, &req)).NotTo(BeNil())
	})

	It("keeps out of evacuated failure domains", func() {
		// Guards against a lease from a placing entry that does not know the evacuation yet,
		// and against a request that is sent although the evacuation has become known since.
		links := startRegion(3)
		placer, other := byRank(links, 0), byRank(links, 2)
		granted, _, _ := other.requestPlacement(context.Background(), &req)
		Expect(granted).NotTo(BeNil())
		lease, _ := other.gateway.pick(req, time.Now())
		Expect(other.gateway.revokedSince(lease)).To(BeEmpty())
		other.gateway.SetEvacuated([]string{"north"})
		Expect(other.gateway.adopt(granted, &req)).To(BeNil())
		Expect(other.gateway.revokedSince(lease)).To(Equal("failure domain is evacuated"))
		// The placing entry, which does not know the evacuation, considers it for this entry.
		_, refusal, by := other.requestPlacement(context.Background(), &req)
		Expect(by).To(Equal(placer.self))
		Expect(refusal.Reason).To(Equal(placement.DomainEvacuated))
		// It considers its own knowledge for an entry that does not know the evacuation.
		other.gateway.SetEvacuated(nil)
		placer.gateway.SetEvacuated([]string{"north"})
		_, refusal, by = other.requestPlacement(context.Background(), &req)
		Expect(by).To(Equal(placer.self))
		Expect(refusal.Reason).To(Equal(placement.DomainEvacuated))
	})

	It("names what this entry has left out if the placing entry refuses", func() {
		// Guards against refusals of which nobody can tell which servers were draining or paused.
		links := startRegion(3)
		placer, other := byRank(links, 0), byRank(links, 2)
		placer.gateway.SetEvacuated([]string{"north"})
		g := other.gateway
		var keys []directory.Key
		g.UpdateServers(func(d *directory.Directory, now time.Time) {
			d.ForEach(func(s *directory.Server) { keys = append(keys, s.Key()) })
			d.MarkDraining(keys[0], directory.SourceResponse, now)
			g.picker.Pause(keys[1], now.Add(time.Minute), now)
		})
		_, refusal, by := other.requestPlacement(context.Background(), &req)
		Expect(by).To(Equal(placer.self))
		Expect(refusal.ExcludedServers).To(ConsistOf(HavePrefix(keys[0].ID+": leaving for "), HavePrefix(keys[1].ID+": paused for ")))
	})

	It("releases leases when requests end", func() {
		links := startRegion(3)
		placer, other := byRank(links, 0), byRank(links, 2)
		granted, _, _ := other.requestPlacement(context.Background(), &req)
		Expect(granted).NotTo(BeNil())
		other.endLease(granted, placement.Answered)
		Eventually(func() int {
			placer.gateway.mu.Lock()
			defer placer.gateway.mu.Unlock()
			return placer.gateway.leases.Len()
		}).Should(BeZero())
	})

	It("falls back to the standby placer, then to the entry itself", func() {
		// Guards against requests that wait for an entry which has stopped.
		links := startRegion(3)
		first, second, other := byRank(links, 0), byRank(links, 1), byRank(links, 2)
		first.conn.Close()
		granted, _, _ := other.requestPlacement(context.Background(), &req)
		Expect(granted).NotTo(BeNil())
		Expect(granted.by).To(Equal(second.self))
		_, _, ok := other.placements.begin(first.self, time.Now())
		Expect(ok).To(BeFalse(), "an entry that did not respond is not asked again for a while")
		second.conn.Close()
		granted, refusal, _ := other.requestPlacement(context.Background(), &req)
		Expect(granted).To(BeNil())
		Expect(refusal).To(BeNil())
	})

	It("makes the standby follow each change of the load only while it places requests", func() {
		// Guards against agents that send each report twice, and against a standby that
		// places requests with reports that are a second old for longer than it takes to get
		// others.
		links := startRegion(4)
		first, second, other := byRank(links, 0), byRank(links, 1), byRank(links, 2)
		granted, _, _ := other.requestPlacement(context.Background(), &req)
		Expect(granted.by).To(Equal(first.self))
		Expect(first.followsEveryChange()).To(BeTrue())
		Expect(second.followsEveryChange()).To(BeFalse())
		Expect(other.followsEveryChange()).To(BeFalse())
		first.conn.Close()
		granted, _, _ = other.requestPlacement(context.Background(), &req)
		Expect(granted.by).To(Equal(second.self))
		Expect(second.followsEveryChange()).To(BeTrue())
		Expect(second.wake).To(Receive())
		Expect(second.pace.wasAsked(time.Now().Add(fastRenewalTime))).To(BeFalse())
	})

	It("makes the standby follow each change of the load if its own requests are not placed", func() {
		links := startRegion(3)
		first, second := byRank(links, 0), byRank(links, 1)
		first.conn.Close()
		granted, _, _ := second.requestPlacement(context.Background(), &req)
		Expect(granted).To(BeNil())
		Expect(second.followsEveryChange()).To(BeTrue())
	})

	It("is not done by a draining placer", func() {
		links := startRegion(3)
		first, second, other := byRank(links, 0), byRank(links, 1), byRank(links, 2)
		first.gateway.Drain()
		granted, _, _ := other.requestPlacement(context.Background(), &req)
		Expect(granted).NotTo(BeNil())
		Expect(granted.by).To(Equal(second.self))
	})

	It("rejects a lease on a server that the entry knows to be draining", func() {
		// Guards against requests to a draining server whose drain the placer has not
		// learned of yet.
		links := startRegion(2)
		other := byRank(links, 1)
		granted, _, _ := other.requestPlacement(context.Background(), &req)
		Expect(granted).NotTo(BeNil())
		other.gateway.UpdateServers(func(d *directory.Directory, _ time.Time) {
			draining := *d.Get(granted.server)
			draining.Draining = true
			d.Put(&draining)
		})
		Expect(other.gateway.adopt(granted, &req)).To(BeNil())
	})

	It("rejects a lease on an engine whose row names newer weights than those that the placer verified", func() {
		// Guards against requests that name the version of the row, which nobody has verified.
		links := startRegion(2)
		other := byRank(links, 1)
		granted, _, _ := other.requestPlacement(context.Background(), &req)
		Expect(granted).NotTo(BeNil())
		other.gateway.UpdateServers(func(d *directory.Directory, _ time.Time) {
			newer := *d.Get(granted.server)
			newer.Weights = map[string]directory.Weights{"m": {Version: granted.version + 1, Complete: true}}
			d.Put(&newer)
		})
		Expect(other.gateway.adopt(granted, &req)).To(BeNil())
	})

	DescribeTable("takes back a request that has not been sent when its server may no longer get it",
		// Guards against requests whose connection was being opened while the server
		// announced its drain, asked for a pause or left.
		func(expected string, learn func(g *Gateway, key directory.Key)) {
			g := startRegion(1)[0].gateway
			lease, refusal := g.pick(req, time.Now())
			Expect(refusal).To(BeNil())
			Expect(g.revokedSince(lease)).To(BeEmpty())
			learn(g, lease.Server.Key())
			Expect(g.revokedSince(lease)).To(Equal(expected))
		},
		Entry("it drains, as another entry says", "server is draining or gone", func(g *Gateway, key directory.Key) {
			g.mergeDraining([]peerlink.ServerKey{{ID: key.ID, StartUnixMilli: key.StartUnixMilli}})
		}),
		Entry("its row is gone", "server is draining or gone", func(g *Gateway, key directory.Key) {
			g.UpdateServers(func(d *directory.Directory, now time.Time) { d.Remove(key.ID, false, now) })
		}),
		Entry("it has restarted", "server is draining or gone", func(g *Gateway, key directory.Key) {
			g.UpdateServers(func(d *directory.Directory, _ time.Time) {
				again := *d.Get(key)
				again.StartUnixMilli++
				d.Put(&again)
			})
		}),
		Entry("it has asked for a pause", "server has asked for a pause", func(g *Gateway, key directory.Key) {
			g.mu.Lock()
			defer g.mu.Unlock()
			g.picker.Pause(key, time.Now().Add(time.Minute), time.Now())
		}),
	)

	Describe("of servers with a rate limit", func() {
		limit := func(l *PeerLink) {
			l.gateway.mu.Lock()
			defer l.gateway.mu.Unlock()
			for s := range servers {
				l.gateway.picker.ObserveLimit(directory.Key{ID: fmt.Sprintf("s%d", s)}, ratelimit.Statement{Known: true, PerSecond: 0.5}, time.Now(), time.Now())
			}
		}

		It("keeps to limits that only the requesting entry knows", func() {
			// Guards against the loss of the datagram that tells the placer of a limit.
			links := startRegion(3)
			other := byRank(links, 2)
			limit(other)
			granted := 0
			for range 4 * servers {
				g, refusal, placer := other.requestPlacement(context.Background(), &req)
				Expect(placer.IsValid()).To(BeTrue())
				if g != nil {
					granted++
					Expect(g.limitChecked).To(BeTrue())
					Expect(other.gateway.adopt(g, &req)).NotTo(BeNil())
					continue
				}
				Expect(refusal.Reason).To(Equal(placement.Limited))
				Expect(refusal.RetryAfter).To(BeNumerically(">", 0))
			}
			Expect(granted).To(BeNumerically("<=", servers))
		})

		It("rejects a lease that was granted before the limit was known", func() {
			links := startRegion(2)
			other := byRank(links, 1)
			granted, _, _ := other.requestPlacement(context.Background(), &req)
			Expect(granted).NotTo(BeNil())
			limit(other)
			Expect(other.gateway.adopt(granted, &req)).To(BeNil())
		})

		It("takes back a request that has not been sent when the limit becomes known", func() {
			l := startRegion(1)[0]
			lease, refusal := l.gateway.pick(req, time.Now())
			Expect(refusal).To(BeNil())
			Expect(l.gateway.revokedSince(lease)).To(BeEmpty())
			limit(l)
			Expect(l.gateway.revokedSince(lease)).To(Equal("server has named a rate limit"))
		})

		It("is requested in one datagram, however much there is to list", func() {
			// Guards against placement requests that the placer cannot read.
			query := &peerlink.PlacementRequest{
				Entry: "edge-nyagatare-a-149", Incarnation: 1 << 63, Lease: 1 << 32, Domain: "nyagatare-a", Service: "inkuru-model", Model: "daka510000",
				Version: 300, MinVersion: 300, NextVersion: 301, NextMillis: 13_400, PromptTokens: 100_000, OutputTokens: 10_000,
				LatencyTargetMillis: 6000, RemainingMillis: 60_000, MayHaveRun: true, OpenLeasesKnown: true,
			}
			key := peerlink.ServerKey{ID: "i-be1c0abb98", StartUnixMilli: 1796383521361}
			for range 24 {
				query.Exclude = append(query.Exclude, key)
			}
			for range maxQueryLimits {
				query.Limits = append(query.Limits, peerlink.RateLimit{Server: key, PerSecond: 1.7, AgeMillis: 600_000})
			}
			for i := range maxQueryDeadlines - 1 {
				query.LaterVersions = append(query.LaterVersions, peerlink.VersionDeadline{int64(302 + i), 13_400})
			}
			for i := range maxListedLeases {
				query.OpenLeases = append(query.OpenLeases, uint64(60_000+i))
			}
			data := encodePlacementRequest(query)
			Expect(len(data)).To(BeNumerically("<=", maxDatagramBytes))
			var d peerlink.Datagram
			Expect(msgpack.Unmarshal(data, &d)).To(Succeed())
			Expect(d.PlacementRequest.Limits).To(HaveLen(maxQueryLimits))
			Expect(d.PlacementRequest.Exclude).To(HaveLen(24))
			Expect(d.PlacementRequest.LaterVersions).To(Equal(query.LaterVersions))
			// With homes and evacuated failure domains as well, the last ejected servers may be
			// missing, but neither the homes nor a rate limit.
			for range maxQueryDomains {
				query.Evacuated = append(query.Evacuated, "nyagatare-a")
			}
			query.HomesOnly, query.Homes = true, []string{"nyagatare", "rwamagana", "kigali"}
			data = encodePlacementRequest(query)
			Expect(len(data)).To(BeNumerically("<=", maxDatagramBytes))
			d = peerlink.Datagram{}
			Expect(msgpack.Unmarshal(data, &d)).To(Succeed())
			Expect(d.PlacementRequest.Limits).To(HaveLen(maxQueryLimits))
			Expect(d.PlacementRequest.Homes).To(HaveLen(3))
			Expect(len(d.PlacementRequest.Exclude)).To(BeNumerically(">=", 20))
			query.Exclude, query.Limits = query.Exclude[:4], nil
			for range maxQueryDomains {
				query.Evacuated = append(query.Evacuated, "nyagatare-a")
			}
			d = peerlink.Datagram{}
			Expect(msgpack.Unmarshal(encodePlacementRequest(query), &d)).To(Succeed())
			Expect(d.PlacementRequest.Evacuated).To(HaveLen(maxQueryDomains))
		})

		It("spreads to the other entries", func() {
			links := startRegion(3)
			other := byRank(links, 2)
			other.handleGossip(&peerlink.Gossip{Forward: true, Limits: []peerlink.RateLimit{{Server: peerlink.ServerKey{ID: "s0"}, PerSecond: 2}}})
			for _, l := range links {
				Eventually(func() bool {
					l.gateway.mu.Lock()
					defer l.gateway.mu.Unlock()
					return l.gateway.picker.RateLimited(directory.Key{ID: "s0"})
				}).Should(BeTrue())
			}
		})
	})

	It("counts the entries of all regions for the retry budget", func() {
		l := startRegion(2)[0]
		l.gateway.config.Placement.Regions = map[string]string{"north": "n", "south": "s", "west": "w"}
		Expect(l.members.count() * l.gateway.regionCount()).To(Equal(6))
	})
})

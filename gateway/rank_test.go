package gateway

import (
	"context"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/auburnbend/auburnbend/lib/admit"
	"github.com/auburnbend/auburnbend/lib/serving"
	"github.com/auburnbend/auburnbend/peerlink"
)

var _ = Describe("Ranks of requests that another entry places", func() {
	It("reach the gate of the placer", func() {
		// Guards against a placer that takes all requests of other entries for the most urgent
		// ones.
		links := startRegion(3)
		placer, other := byRank(links, 0), byRank(links, 2)
		placer.gateway.SetConfig(&serving.Config{
			Version: 2, Services: []serving.Service{{Name: "drafts", Engine: regionEngine}},
			Teams: []serving.Team{{Name: "a", Priority: 2, HasPriority: true}, {Name: "b", HasPriority: true}},
		})
		ranked := regionRequest
		ranked.Ranked, ranked.Rank, ranked.Team = true, 2, "a"
		for range 2 {
			granted, _, _ := other.requestPlacement(context.Background(), &ranked)
			Expect(granted).NotTo(BeNil())
		}
		// An entry of an earlier release names no rank.
		earlier := other.newPlacementRequest(&regionRequest)
		earlier.Lease = 99
		Expect(placer.gateway.placeFor(earlier).Server).NotTo(BeNil())
		placer.gateway.mu.Lock()
		defer placer.gateway.mu.Unlock()
		Expect(placer.gateway.picker.GateStats(time.Now())["drafts"]).To(Equal([]admit.RankStats{
			{Rank: 0, Admitted: 1, Share: 1}, {Rank: 2, Admitted: 2, Share: 1},
		}))
	})

	It("are sent without the name of the team if that is too long", func() {
		// Guards against a placement request that does not fit into a datagram.
		data := encodePlacementRequest(&peerlink.PlacementRequest{Rank: 2, Team: strings.Repeat("t", 4000)})
		Expect(len(data)).To(BeNumerically("<=", maxDatagramBytes))
		var d peerlink.Datagram
		Expect(msgpack.Unmarshal(data, &d)).To(Succeed())
		Expect(d.PlacementRequest.Rank).To(Equal(2))
	})
})

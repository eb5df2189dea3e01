package replica_test

import (
	"fmt"
	"strconv"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/auburnbend/auburnbend/platform/platformtest"
	"github.com/auburnbend/auburnbend/replica"
)

var _ = Describe("Replica behind a narrow link", func() {
	It("leaves room on the link for requests to its engine", func() {
		// Guards against requests that wait behind five pieces, for over a second, and
		// reach the engine when its weights are too old to begin them.
		const pieceTime = 250 * time.Millisecond
		rate := float64(len(pieceData(2, 10))) / pieceTime.Seconds()
		link := platformtest.NewNarrowLink(rate, 100)
		DeferCleanup(link.Close)
		f := newFleet(1, 1, 1, 1, 1, 1)
		// Replica 0 sees its peers at addresses of the link.
		f.setTargetOf(2, f.replicas[1:]...)
		Eventually(func() bool { return allServe(f.engines[1:], 2) }, 20*time.Second).Should(BeTrue())
		peers := []replica.Peer{f.peers[0]}
		for i, p := range f.peers[1:] {
			host := fmt.Sprintf("127.0.3.%d", i+1)
			port := ":" + strconv.Itoa(f.port)
			Expect(link.Receive(host+port, f.host(i+1)+port)).To(Succeed())
			peers = append(peers, replica.Peer{Address: host + ":9", Region: p.Region})
		}
		f.peersOfFirst.Store(&peers)
		f.setTargetOf(2, f.replicas[0])
		// At first the replica cannot know that the link is narrow.
		Eventually(link.WaitTime, 5*time.Second, time.Millisecond).Should(BeNumerically(">", 0))
		time.Sleep(1500 * time.Millisecond)
		longest := time.Duration(0)
		for f.engines[0].version() != 2 {
			longest = max(longest, link.WaitTime())
			time.Sleep(time.Millisecond)
		}
		// A piece, and the lists of pieces that peers announce.
		Expect(longest).To(BeNumerically("<=", 2*pieceTime))
	})
})

func allServe(engines []*fakeEngine, version int) bool {
	for _, e := range engines {
		if e.version() != version {
			return false
		}
	}
	return true
}

package distribute_test

import (
	"fmt"
	"math/rand"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/auburnbend/auburnbend/lib/distribute"
	"github.com/auburnbend/auburnbend/lib/model"
	"github.com/auburnbend/auburnbend/lib/weights"
	"github.com/auburnbend/auburnbend/lib/wire"
)

// singleChunk returns a version of one chunk, its digest, and the bitmap of an agent
// that holds it.
func singleChunk() (m *weights.Manifest, digest model.Digest, have weights.Bitmap) {
	m, err := weights.BuildBytes(make([]byte, 64), "o", model.Digest{}, 64)
	Expect(err).NotTo(HaveOccurred())
	digest, err = m.Digest()
	Expect(err).NotTo(HaveOccurred())
	have = weights.NewBitmap(1)
	have.Set(0)
	return m, digest, have
}

var _ = Describe("Agents without a tracker", func() {
	// Guards against choosing peers in a fixed order, which makes all agents
	// without a tracker fetch from the same one or two of 20 peers, at a tenth
	// of the rate of their links.
	It("distribute their fetches over the peers that hold the chunks", func() {
		now := time.Unix(0, 0)
		m, digest, have := singleChunk()
		used := make(map[string]int)
		for seed := range 20 {
			d := distribute.NewDownloader(distribute.DownloaderConfig{Self: "self", Rand: rand.New(rand.NewSource(int64(seed)))})
			d.SetTarget(now, digest, m, weights.NewBitmap(1))
			d.TrackerLost(now)
			for p := range 20 {
				address := fmt.Sprintf("peer-%02d", p)
				d.AddPeers([]string{address})
				d.SetPeerBitmap(address, digest, have)
			}
			start := d.Next(now).Start
			Expect(start).To(HaveLen(1))
			used[start[0].Source]++
		}
		Expect(len(used)).To(BeNumerically(">", 5))
	})

	// Guards against a chunk that is fetched from nowhere while the only peer that holds
	// it is avoided for many seconds.
	It("use the origin while the only peer with a chunk is avoided for long", func() {
		now := time.Unix(0, 0)
		m, digest, have := singleChunk()
		d := distribute.NewDownloader(distribute.DownloaderConfig{Self: "self", TrackerlessAgents: 1, TrackerlessCopies: 2, Rand: rand.New(rand.NewSource(1))})
		d.SetTarget(now, digest, m, weights.NewBitmap(1))
		d.TrackerLost(now)
		d.AddPeers([]string{"peer"})
		d.SetPeerBitmap("peer", digest, have)
		var sources []string
		for range 3000 {
			now = now.Add(10 * time.Millisecond)
			for _, f := range d.Next(now).Start {
				sources = append(sources, f.Source)
				d.FetchFinished(now, f.ID, f.Chunk.Digest, distribute.Failed, 0)
			}
		}
		Expect(sources).To(ContainElement("peer"))
		Expect(sources).To(ContainElement(distribute.Origin))
	})

	// Guards against choosing a peer behind a stalled path again at once while
	// a tracker is connected that does not answer.
	It("avoid a stalled peer for longer after each failure", func() {
		now := time.Unix(0, 0)
		m, digest, have := singleChunk()
		d := distribute.NewDownloader(distribute.DownloaderConfig{Self: "self", Rand: rand.New(rand.NewSource(1))})
		d.SetTarget(now, digest, m, weights.NewBitmap(1))
		d.TrackerConnected(now)
		// The tracker answers once and then falls silent.
		d.HandleAssign(now, &wire.Assign{Manifest: digest})
		d.AddPeers([]string{"peer"})
		d.SetPeerBitmap("peer", digest, have)
		var starts []time.Duration
		begin := now
		for range 2000 {
			now = now.Add(10 * time.Millisecond)
			for _, f := range d.Next(now).Start {
				starts = append(starts, now.Sub(begin))
				d.FetchFinished(now, f.ID, f.Chunk.Digest, distribute.Failed, 0)
			}
		}
		Expect(len(starts)).To(BeNumerically(">=", 4))
		for i := 2; i < len(starts); i++ {
			Expect(starts[i] - starts[i-1]).To(BeNumerically(">", starts[i-1]-starts[i-2]))
		}
	})
})

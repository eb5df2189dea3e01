package config_test

import (
	"math/rand"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/auburnbend/auburnbend/lib/config"
)

var _ = Describe("Peers on leaf connections", func() {
	start := time.Unix(1_800_000_000, 0)
	first, second := config.PeerID{Instance: "entry-1"}, config.PeerID{Instance: "entry-2"}

	newPeers := func() *config.Peers {
		p := config.NewPeers(config.PeersConfig{}, rand.New(rand.NewSource(1)))
		p.Add(first, true)
		p.ObserveHead(first, config.Head{Number: 5})
		return p
	}

	// Guards against bursts of changes that cause one message per change and agent.
	It("fetches immediately after a pause and then waits for LeafInterval", func() {
		p := newPeers()
		_, ok := p.StartFetch(config.Head{Number: 4}, start)
		Expect(ok).To(BeTrue())
		p.FetchAnswered(first)
		p.ObserveHead(first, config.Head{Number: 6})
		_, ok = p.StartFetch(config.Head{Number: 5}, start.Add(1900*time.Millisecond))
		Expect(ok).To(BeFalse())
		_, ok = p.StartFetch(config.Head{Number: 5}, start.Add(2*time.Second))
		Expect(ok).To(BeTrue())
	})

	// Guards against waiting for LeafInterval after a failed fetch, which would delay
	// the change further.
	It("fetches from another peer immediately after a rejected answer or a lost connection", func() {
		for _, fail := range []func(*config.Peers){
			func(p *config.Peers) { p.Reject(first) },
			func(p *config.Peers) { p.FetchAnswered(first); p.Remove(first) },
		} {
			p := newPeers()
			_, ok := p.StartFetch(config.Head{Number: 4}, start)
			Expect(ok).To(BeTrue())
			fail(p)
			p.Add(second, true)
			p.ObserveHead(second, config.Head{Number: 5})
			id, ok := p.StartFetch(config.Head{Number: 4}, start.Add(10*time.Millisecond))
			Expect(ok).To(BeTrue())
			Expect(id).To(Equal(second))
		}
	})
})

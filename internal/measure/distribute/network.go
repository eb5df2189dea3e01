package distribute

import (
	"context"
	"errors"
	"fmt"
	"hash/fnv"
	"math/rand"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"

	"github.com/auburnbend/auburnbend/lib/model"
)

// linkQuantum is the maximum number of bytes that pass a link at once. It is small
// compared with a chunk, so that concurrent transfers share a link evenly.
const linkQuantum = 8 << 10

// newLinkLimiter returns the token bucket of a link.
func newLinkLimiter(bytesPerSecond float64) *rate.Limiter {
	return rate.NewLimiter(rate.Limit(bytesPerSecond), 2*linkQuantum)
}

// node is an endpoint of emulated links.
type node struct {
	name     string
	location model.Location
	up, down *rate.Limiter
}

// network emulates links: a token bucket for each direction of a node's link, and
// one for each direction between two regions. The link from one node to another
// may stall for the rest of the run. It is safe for concurrent use.
type network struct {
	mu               sync.Mutex
	nodes            map[string]*node // by address
	interRegionLinks map[[2]model.Region]*rate.Limiter
	interRegionRate  float64
	faults           faults
	stalls           map[[2]string]*stall
	seed             int64
	rand             *rand.Rand
}

// faults describes the faults of a run.
type faults struct {
	// corruptShare is the share of chunk transfers that are corrupted, stallShare
	// the share of directed pairs of nodes whose link stalls.
	corruptShare, stallShare float64
	// stallWindow is the time after start within which stalls begin.
	stallWindow time.Duration
	start       time.Time
}

// stall holds when the link of a directed pair of nodes stalls.
type stall struct {
	startAt time.Time // zero if it never stalls
}

func newNetwork(interRegionRate float64, f faults, seed int64) *network {
	return &network{
		nodes: make(map[string]*node), interRegionLinks: make(map[[2]model.Region]*rate.Limiter),
		interRegionRate: interRegionRate, faults: f, stalls: make(map[[2]string]*stall), seed: seed, rand: rand.New(rand.NewSource(seed)),
	}
}

func (n *network) add(address string, nd *node) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.nodes[address] = nd
}

func (n *network) node(address string) *node {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.nodes[address]
}

// interRegionLink returns the bucket of the link from one region to another, or nil
// if they are the same or one is unknown.
func (n *network) interRegionLink(from, to model.Region) *rate.Limiter {
	if from == to || from == "" || to == "" {
		return nil
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	key := [2]model.Region{from, to}
	l, ok := n.interRegionLinks[key]
	if !ok {
		l = newLinkLimiter(n.interRegionRate)
		n.interRegionLinks[key] = l
	}
	return l
}

// isStalled reports whether the link from one node to another is stalled.
func (n *network) isStalled(from, to string) bool {
	if n.faults.stallShare <= 0 {
		return false
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	key := [2]string{from, to}
	s, ok := n.stalls[key]
	if !ok {
		// The random choice depends on the seed and the pair, not on the order in
		// which pairs are first used.
		h := fnv.New64a()
		_, _ = fmt.Fprintf(h, "%d %s %s", n.seed, from, to)
		rng := rand.New(rand.NewSource(int64(h.Sum64())))
		s = new(stall)
		if rng.Float64() < n.faults.stallShare {
			s.startAt = n.faults.start.Add(time.Duration(rng.Int63n(int64(n.faults.stallWindow))))
		}
		n.stalls[key] = s
	}
	return !s.startAt.IsZero() && time.Now().After(s.startAt)
}

// drawCorruption decides at random whether a chunk transfer is corrupted.
func (n *network) drawCorruption() bool {
	if n.faults.corruptShare <= 0 {
		return false
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.rand.Float64() < n.faults.corruptShare
}

// waitForLinks waits until the given number of bytes may pass all buckets; nil
// buckets are ignored. It returns the error of ctx if ctx ends first.
func waitForLinks(ctx context.Context, bytes int, buckets ...*rate.Limiter) error {
	var wait time.Duration
	now := time.Now()
	for _, b := range buckets {
		if b != nil {
			wait = max(wait, b.ReserveN(now, bytes).DelayFrom(now))
		}
	}
	if wait <= 0 {
		return nil
	}
	t := time.NewTimer(wait)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// limitedConn is a connection over emulated links. Writes pass the local node's
// uplink and the link between the regions, reads the local node's downlink.
type limitedConn struct {
	net.Conn
	network       *network
	local         *node
	remote        atomic.Pointer[node]
	ctx           context.Context
	cancel        context.CancelFunc
	minChunkWrite int // writes of at least this size carry a chunk
}

func (n *network) wrapConn(nc net.Conn, local, remote *node, chunkSize int) *limitedConn {
	ctx, cancel := context.WithCancel(context.Background())
	c := &limitedConn{Conn: nc, network: n, local: local, ctx: ctx, cancel: cancel, minChunkWrite: chunkSize / 2}
	c.remote.Store(remote)
	return c
}

func (c *limitedConn) Close() error {
	c.cancel()
	return c.Conn.Close()
}

func (c *limitedConn) Write(p []byte) (int, error) {
	remote := c.remote.Load()
	var interRegion *rate.Limiter
	if remote != nil {
		interRegion = c.network.interRegionLink(c.local.location.Region, remote.location.Region)
	}
	if len(p) >= c.minChunkWrite && c.network.drawCorruption() {
		p = append([]byte(nil), p...)
		p[len(p)/2] ^= 0x55
	}
	for sent := 0; sent < len(p); {
		if remote != nil && c.network.isStalled(c.local.name, remote.name) {
			<-c.ctx.Done()
			return sent, errors.Join(os.ErrClosed, c.ctx.Err())
		}
		end := min(sent+linkQuantum, len(p))
		if err := waitForLinks(c.ctx, end-sent, c.local.up, interRegion); err != nil {
			return sent, err
		}
		n, err := c.Conn.Write(p[sent:end])
		sent += n
		if err != nil {
			return sent, err
		}
	}
	return len(p), nil
}

func (c *limitedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p[:min(len(p), linkQuantum)])
	if n > 0 {
		if waitErr := waitForLinks(c.ctx, n, c.local.down); waitErr != nil {
			return 0, waitErr
		}
	}
	return n, err
}

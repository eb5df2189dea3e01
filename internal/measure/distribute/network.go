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

// linkQuantum is the number of bytes that pass a limited link at once. It is small
// against a chunk, so that concurrent transfers share a link evenly.
const linkQuantum = 8 << 10

// newLinkLimiter returns the token bucket of a link.
func newLinkLimiter(bytesPerSecond float64) *rate.Limiter {
	return rate.NewLimiter(rate.Limit(bytesPerSecond), 2*linkQuantum)
}

// node is one end of emulated links.
type node struct {
	name     string
	location model.Location
	up, down *rate.Limiter
}

// network emulates links: a bucket for each direction of each node's link, and
// one for each direction between two regions. Directed pairs may stall for good.
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

// faults of a run.
type faults struct {
	corruptShare, stallShare float64
	// stallWindow is the time after the start in which stalls begin.
	stallWindow time.Duration
	start       time.Time
}

// stall is the state of a directed pair of nodes.
type stall struct {
	startAt time.Time // zero for never
}

func newNetwork(between float64, f faults, seed int64) *network {
	return &network{
		nodes: make(map[string]*node), interRegionLinks: make(map[[2]model.Region]*rate.Limiter),
		interRegionRate: between, faults: f, stalls: make(map[[2]string]*stall), seed: seed, rand: rand.New(rand.NewSource(seed)),
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

// interRegionLink returns the bucket from one region to another, or nil within one.
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

// isStalled reports whether bytes from one node to another are held back.
func (n *network) isStalled(from, to string) bool {
	if n.faults.stallShare <= 0 {
		return false
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	key := [2]string{from, to}
	s, ok := n.stalls[key]
	if !ok {
		// The draw depends on the pair only, not on which pair is used first.
		h := fnv.New64a()
		_, _ = fmt.Fprintf(h, "%d %s %s", n.seed, from, to)
		draw := rand.New(rand.NewSource(int64(h.Sum64())))
		s = new(stall)
		if draw.Float64() < n.faults.stallShare {
			s.startAt = n.faults.start.Add(time.Duration(draw.Int63n(int64(n.faults.stallWindow))))
		}
		n.stalls[key] = s
	}
	return !s.startAt.IsZero() && time.Now().After(s.startAt)
}

// drawCorruption draws whether a chunk transfer is damaged.
func (n *network) drawCorruption() bool {
	if n.faults.corruptShare <= 0 {
		return false
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.rand.Float64() < n.faults.corruptShare
}

// waitForLinks waits until some bytes may pass all buckets.
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

// limitedConn is a connection over emulated links.
type limitedConn struct {
	net.Conn
	network       *network
	local         *node
	remote        atomic.Pointer[node]
	ctx           context.Context
	cancel        context.CancelFunc
	minChunkWrite int // writes from this size on carry a chunk
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
	var between *rate.Limiter
	if remote != nil {
		between = c.network.interRegionLink(c.local.location.Region, remote.location.Region)
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
		if err := waitForLinks(c.ctx, end-sent, c.local.up, between); err != nil {
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

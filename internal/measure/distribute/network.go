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

// slice is the number of bytes that pass a limited link at once. It is small
// against a chunk, so that concurrent transfers share a link evenly.
const slice = 8 << 10

// bucket returns the token bucket of a link.
func bucket(bytesPerSecond float64) *rate.Limiter {
	return rate.NewLimiter(rate.Limit(bytesPerSecond), 2*slice)
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
	mu      sync.Mutex
	nodes   map[string]*node // by address
	regions map[[2]model.Region]*rate.Limiter
	between float64
	faults  faults
	stalls  map[[2]string]*stall
	seed    int64
	rand    *rand.Rand
}

// faults of a run.
type faults struct {
	corrupt, stall float64
	// within is the time after the start in which stalls begin.
	within time.Duration
	start  time.Time
}

// stall is the state of a directed pair of nodes.
type stall struct {
	at time.Time // zero for never
}

func newNetwork(between float64, f faults, seed int64) *network {
	return &network{
		nodes: make(map[string]*node), regions: make(map[[2]model.Region]*rate.Limiter),
		between: between, faults: f, stalls: make(map[[2]string]*stall), seed: seed, rand: rand.New(rand.NewSource(seed)),
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

// interRegion returns the bucket from one region to another, or nil within one.
func (n *network) interRegion(from, to model.Region) *rate.Limiter {
	if from == to || from == "" || to == "" {
		return nil
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	key := [2]model.Region{from, to}
	l, ok := n.regions[key]
	if !ok {
		l = bucket(n.between)
		n.regions[key] = l
	}
	return l
}

// stalled reports whether bytes from one node to another are held back.
func (n *network) stalled(from, to string) bool {
	if n.faults.stall <= 0 {
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
		if draw.Float64() < n.faults.stall {
			s.at = n.faults.start.Add(time.Duration(draw.Int63n(int64(n.faults.within))))
		}
		n.stalls[key] = s
	}
	return !s.at.IsZero() && time.Now().After(s.at)
}

// corrupts draws whether a chunk transfer is damaged.
func (n *network) corrupts() bool {
	if n.faults.corrupt <= 0 {
		return false
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.rand.Float64() < n.faults.corrupt
}

// pass waits until some bytes may pass all buckets.
func pass(ctx context.Context, bytes int, buckets ...*rate.Limiter) error {
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
	n           *network
	local       *node
	remote      atomic.Pointer[node]
	ctx         context.Context
	cancel      context.CancelFunc
	damagedFrom int // writes from this size on carry a chunk
}

func (n *network) wrap(nc net.Conn, local, remote *node, chunkSize int) *limitedConn {
	ctx, cancel := context.WithCancel(context.Background())
	c := &limitedConn{Conn: nc, n: n, local: local, ctx: ctx, cancel: cancel, damagedFrom: chunkSize / 2}
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
		between = c.n.interRegion(c.local.location.Region, remote.location.Region)
	}
	if len(p) >= c.damagedFrom && c.n.corrupts() {
		p = append([]byte(nil), p...)
		p[len(p)/2] ^= 0x55
	}
	for sent := 0; sent < len(p); {
		if remote != nil && c.n.stalled(c.local.name, remote.name) {
			<-c.ctx.Done()
			return sent, errors.Join(os.ErrClosed, c.ctx.Err())
		}
		end := min(sent+slice, len(p))
		if err := pass(c.ctx, end-sent, c.local.up, between); err != nil {
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
	n, err := c.Conn.Read(p[:min(len(p), slice)])
	if n > 0 {
		if waitErr := pass(c.ctx, n, c.local.down); waitErr != nil {
			return 0, waitErr
		}
	}
	return n, err
}

package distribute

import (
	"context"
	"fmt"
	"math/rand"
	"net"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/auburnbend/auburnbend/agent/transfer"
	"github.com/auburnbend/auburnbend/entry/tracker"
	libdistribute "github.com/auburnbend/auburnbend/lib/distribute"
	"github.com/auburnbend/auburnbend/lib/model"
	"github.com/auburnbend/auburnbend/lib/weights"
	"github.com/auburnbend/auburnbend/lib/wire"
)

// fleet holds the entries and agents of one run, connected over loopback.
type fleet struct {
	o        *Options
	net      *network
	origin   *origin
	plan     libdistribute.Plan
	manifest *weights.Manifest
	digest   model.Digest

	entries []*entry
	agents  []*agent
	ctx     context.Context
	cancel  context.CancelFunc
	wg      sync.WaitGroup
}

type entry struct {
	address  string
	location model.Location
	service  *tracker.Service
	listener net.Listener
}

type agent struct {
	node     *node
	address  string
	service  *transfer.Service
	chunks   *weights.Store
	listener net.Listener
	cancel   context.CancelFunc
	ctx      context.Context
	killed   bool
	finished time.Time
	err      error
}

const (
	weightsObject  = "weights"
	manifestObject = "manifest"
)

// newFleet starts the agents and, if withEntries is set, the entries. Without
// entries the agents only serve chunks.
func newFleet(o *Options, timeWeight float64, f faults, withEntries bool) (*fleet, error) {
	data := make([]byte, o.Size)
	rand.New(rand.NewSource(o.Seed)).Read(data)
	m, err := weights.BuildBytes(data, weightsObject, model.Digest{}, o.ChunkSize)
	if err != nil {
		return nil, err
	}
	encoded, err := m.Encode()
	if err != nil {
		return nil, err
	}
	interRegionRate := o.rate(o.InterRegionCopies)
	f.start = time.Now()
	n := newNetwork(interRegionRate, f, o.Seed)
	ctx, cancel := context.WithCancel(context.Background())
	fl := &fleet{
		o: o, net: n, manifest: m, digest: model.Sum(encoded), ctx: ctx, cancel: cancel,
		origin: &origin{network: n, up: newLinkLimiter(o.rate(o.OriginCopies)), objects: map[string][]byte{weightsObject: data, manifestObject: encoded}},
		plan:   libdistribute.MakePlan(planInput(o, timeWeight)),
	}
	if withEntries {
		err = fl.startEntries()
	}
	for i := 0; err == nil && i < o.Agents; i++ {
		err = fl.startAgent(i)
	}
	if err != nil {
		fl.close()
	}
	return fl, err
}

func locationOf(domain int) model.Location {
	return model.Location{
		Region:        model.Region(fmt.Sprintf("region-%d", domain)),
		FailureDomain: model.FailureDomain(fmt.Sprintf("domain-%d", domain)),
	}
}

func planInput(o *Options, timeWeight float64) libdistribute.PlanInput {
	link := o.rate(o.InstanceCopies)
	in := libdistribute.PlanInput{
		Size: int64(o.Size), ChunkSize: int64(o.ChunkSize), OriginRate: o.rate(o.OriginCopies),
		InterRegionRate: o.rate(o.InterRegionCopies) * o.LinkShare, TimeWeight: timeWeight,
	}
	for d := range o.Domains {
		in.Domains = append(in.Domains, libdistribute.DomainInput{
			Location: locationOf(d), Instances: (o.Agents + o.Domains - 1 - d) / o.Domains, DownloadRate: link, UploadRate: link,
		})
	}
	return in
}

func (fl *fleet) startEntries() error {
	for i := range fl.o.Domains * fl.o.Entries {
		d := i % fl.o.Domains
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return merry.Wrap(err)
		}
		e := &entry{address: l.Addr().String(), location: locationOf(d), listener: l}
		e.service = tracker.New(tracker.Config{
			Seed: fl.o.Seed + int64(i), Location: e.location,
			Tracker: libdistribute.TrackerConfig{
				UploadSlots: fl.o.UploadSlots, OriginStreams: fl.o.OriginStreams, RemoteStreams: fl.o.RemoteStreams,
				RemoteRate: int64(fl.o.rate(fl.o.InterRegionCopies) * fl.o.LinkShare),
			},
			Policy: func(model.Digest) libdistribute.Policy { return fl.plan.Policy },
		})
		fl.net.add(e.address, &node{name: fmt.Sprintf("entry-%d", i), location: e.location})
		fl.entries = append(fl.entries, e)
		fl.serveConns(fl.ctx, l, fl.net.node(e.address), wire.Hello{Role: wire.RoleEntry}, e.service.Serve)
	}
	fl.wg.Add(1)
	go fl.runPeriodicTasks()
	return nil
}

// runPeriodicTasks performs the periodic tasks of an entry process for all entries:
// it expires state and sends summaries to the trackers of the other entries.
func (fl *fleet) runPeriodicTasks() {
	defer fl.wg.Done()
	// All entries are in this process, so summaries are passed by a direct call and
	// not over a connection.
	sessions := make(map[[2]*entry]*tracker.Session)
	for _, from := range fl.entries {
		for _, to := range fl.entries {
			hello := wire.Hello{Role: wire.RoleEntry, Identity: model.Identity{Address: from.address, Location: from.location}}
			sessions[[2]*entry{from, to}] = to.service.Attach(hello, nil)
		}
	}
	ticker := time.NewTicker(50 * time.Millisecond)
	defer ticker.Stop()
	for {
		select {
		case <-fl.ctx.Done():
			return
		case <-ticker.C:
		}
		for _, e := range fl.entries {
			e.service.Tick()
			for _, s := range e.service.Summaries() {
				for _, other := range fl.entries {
					if other != e {
						sessions[[2]*entry{e, other}].Handle(s)
					}
				}
			}
		}
	}
}

func (fl *fleet) startAgent(i int) error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return merry.Wrap(err)
	}
	link := fl.o.rate(fl.o.InstanceCopies)
	location := locationOf(i % fl.o.Domains)
	a := &agent{
		address: l.Addr().String(), listener: l, chunks: weights.NewStore(weights.StoreConfig{}),
		node: &node{name: fmt.Sprintf("agent-%d", i), location: location, up: newLinkLimiter(link), down: newLinkLimiter(link)},
	}
	a.ctx, a.cancel = context.WithCancel(fl.ctx)
	fl.net.add(a.address, a.node)
	identity := model.Identity{
		Instance: model.InstanceID(a.node.name), Generation: model.Generation(i + 1),
		Location: location, Address: a.address,
	}
	a.service = transfer.New(transfer.Config{
		Seed: fl.o.Seed*1000 + int64(i) + 1, Identity: identity, Pool: "pool",
		Origin: originClient{fl.origin, a.node}, Chunks: a.chunks,
		Downloader: libdistribute.DownloaderConfig{Window: fl.o.Streams, QueueDepth: fl.o.QueueDepth, MinAnnounceInterval: 2 * time.Millisecond},
		Dial: func(ctx context.Context, address string) (net.Conn, error) {
			nc, err := new(net.Dialer).DialContext(ctx, "tcp", address)
			if err != nil {
				return nil, err
			}
			return fl.net.wrapConn(nc, a.node, fl.net.node(address), fl.o.ChunkSize), nil
		},
	})
	var addresses []string
	for _, e := range fl.entries {
		if e.location == location {
			addresses = append(addresses, e.address)
		}
	}
	a.service.SetEntries(addresses)
	fl.agents = append(fl.agents, a)
	fl.serveConns(a.ctx, l, a.node, wire.Hello{Role: wire.RoleAgent, Identity: identity}, func(c *wire.Conn, _ wire.Hello) error {
		return a.service.ServePeer(c)
	})
	return nil
}

// serveConns accepts and serves connections in the background until ctx ends.
func (fl *fleet) serveConns(ctx context.Context, l net.Listener, local *node, hello wire.Hello, serve func(*wire.Conn, wire.Hello) error) {
	fl.wg.Add(1)
	go func() {
		defer fl.wg.Done()
		context.AfterFunc(ctx, func() { _ = l.Close() })
		for {
			nc, err := l.Accept()
			if err != nil {
				return
			}
			fl.wg.Add(1)
			go func() {
				defer fl.wg.Done()
				c := fl.net.wrapConn(nc, local, nil, fl.o.ChunkSize)
				stop := context.AfterFunc(ctx, func() { _ = c.Close() })
				defer stop()
				conn, peer, err := wire.Handshake(c, hello)
				if err != nil {
					return
				}
				defer conn.Close()
				c.remote.Store(fl.net.node(peer.Identity.Address))
				_ = serve(conn, peer)
			}()
		}
	}()
}

// kill ends the agent's connections and transfers.
func (a *agent) kill() {
	a.cancel()
	a.service.Close()
}

// close ends all agents and entries and waits for their goroutines.
func (fl *fleet) close() {
	fl.cancel()
	for _, a := range fl.agents {
		a.service.Close()
	}
	fl.wg.Wait()
}

// dial opens a connection to another agent over the emulated links. The baselines
// use it.
func (a *agent) dial(ctx context.Context, fl *fleet, to *agent) (*wire.Conn, error) {
	nc, err := new(net.Dialer).DialContext(ctx, "tcp", to.address)
	if err != nil {
		return nil, merry.Wrap(err)
	}
	c := fl.net.wrapConn(nc, a.node, to.node, fl.o.ChunkSize)
	context.AfterFunc(ctx, func() { _ = c.Close() })
	conn, _, err := wire.Handshake(c, wire.Hello{Role: wire.RoleAgent, Identity: model.Identity{Address: a.address}})
	return conn, err
}

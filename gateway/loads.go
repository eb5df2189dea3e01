package gateway

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/auburnbend/auburnbend/lib/directory"
	"github.com/auburnbend/auburnbend/lib/placement"
	"github.com/auburnbend/auburnbend/lib/rendezvous"
	"github.com/auburnbend/auburnbend/lib/serving"
	"github.com/auburnbend/auburnbend/peerlink"
)

const (
	// subscribeInterval is how often the agents are asked for load reports.
	subscribeInterval = time.Second
	// maxNearEngines and maxFarEngines bound the engines that report to one entry,
	// ten times a second each, so that reports do not grow with the square of the
	// fleet.
	maxNearEngines = 64
	maxFarEngines  = 24
	// maxDatagram bounds a datagram in bytes.
	maxDatagram = 1200
	// reorderWindow is the number of messages by which one may be overtaken; a
	// larger step back means that the sender has restarted.
	reorderWindow = 50
)

// Loads takes load reports from the agents of model engines and tells the other
// entries of the region what this one has sent where.
type Loads struct {
	gateway *Gateway
	name    string
	region  string
	self    netip.AddrPort
	conn    *net.UDPConn
	// wake makes Run announce targets at once.
	wake chan struct{}
	// sequences are the newest messages by sender; they belong to the receiving
	// goroutine.
	sequences map[string]uint64

	// mu guards what follows.
	mu         sync.Mutex
	neighbours neighbours
	sequence   uint64
}

// NewLoads listens on an IP address and port. Agents and other entries listen on
// the same port.
func NewLoads(g *Gateway, name, region, address string, port int) (*Loads, error) {
	conn, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.ParseIP(address), Port: port})
	if err != nil {
		return nil, err
	}
	l := &Loads{
		gateway: g, name: name, region: region, conn: conn,
		self:      conn.LocalAddr().(*net.UDPAddr).AddrPort(),
		sequences: make(map[string]uint64), neighbours: neighbours{seen: make(map[netip.AddrPort]time.Time)},
		wake: make(chan struct{}, 1),
	}
	g.usage = l.tell
	g.targetsChanged = func() {
		select {
		case l.wake <- struct{}{}:
		default:
		}
	}
	return l, nil
}

// Run asks for reports and takes them until ctx ends.
func (l *Loads) Run(ctx context.Context) {
	stop := context.AfterFunc(ctx, func() { _ = l.conn.Close() })
	defer stop()
	go l.receive(ctx)
	ticker := time.NewTicker(subscribeInterval)
	defer ticker.Stop()
	for ctx.Err() == nil {
		l.subscribe()
		select {
		case <-ctx.Done():
		case <-ticker.C:
		case <-l.wake:
			// Several changes often come together.
			time.Sleep(announcePause)
		}
	}
}

// subscribe asks the agents for reports and announces what they must serve.
func (l *Loads) subscribe() {
	table := l.gateway.table.Load()
	if table == nil {
		return
	}
	targets := l.gateway.targets(table)
	asks := make(map[string][]byte)
	for _, engine := range l.gateway.engines(table, l.name) {
		ask := asks[engine.service]
		if ask == nil {
			ask = encode(&peerlink.Datagram{Subscription: &peerlink.Subscription{Entry: l.name, Region: l.region, Target: targets[engine.service]}})
			asks[engine.service] = ask
		}
		l.send(ask, netip.AddrPortFrom(engine.host, l.self.Port()))
	}
}

func encode(d *peerlink.Datagram) []byte {
	data, err := msgpack.Marshal(d)
	if err != nil {
		panic(err)
	}
	return data
}

// send sends a datagram. A lost one is replaced by the next one.
func (l *Loads) send(data []byte, to netip.AddrPort) { _, _ = l.conn.WriteToUDPAddrPort(data, to) }

// tell tells the neighbours and the server's agent what this entry has there.
func (l *Loads) tell(u peerlink.Usage) {
	l.mu.Lock()
	now := l.gateway.now()
	l.sequence++
	u.Entry, u.Sequence = l.name, l.sequence
	to := l.neighbours.current(l.name, now)
	l.mu.Unlock()
	if server, err := netip.ParseAddrPort(u.Server); err == nil {
		to = append(to[:len(to):len(to)], netip.AddrPortFrom(server.Addr(), l.self.Port()))
	}
	data := encode(&peerlink.Datagram{Usage: &u})
	for _, address := range to {
		l.send(data, address)
	}
}

func (l *Loads) receive(ctx context.Context) {
	buf := make([]byte, maxDatagram)
	for ctx.Err() == nil {
		n, err := l.conn.Read(buf)
		if err != nil {
			select {
			case <-ctx.Done():
			case <-time.After(subscribeInterval):
			}
			continue
		}
		var d peerlink.Datagram
		switch {
		case msgpack.Unmarshal(buf[:n], &d) != nil:
		case d.Status != nil && l.newest(d.Status.Address, d.Status.Sequence):
			l.learnNeighbours(d.Status)
			l.gateway.takeStatus(*d.Status)
		case d.Usage != nil && l.newest(d.Usage.Entry+" "+d.Usage.Server, d.Usage.Sequence):
			l.gateway.takeUsage(*d.Usage)
		}
	}
}

// newest reports whether a message is newer than those seen: datagrams may
// overtake each other.
func (l *Loads) newest(sender string, sequence uint64) bool {
	if last := l.sequences[sender]; sequence <= last && last-sequence < reorderWindow {
		return false
	}
	l.sequences[sender] = sequence
	return true
}

// learnNeighbours takes the entries of this region that an agent names.
func (l *Loads) learnNeighbours(status *peerlink.Status) {
	if status.Region != l.region || len(status.Neighbours) == 0 {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.neighbours.learn(status.Neighbours, l.self, l.gateway.now())
}

// engine is a model engine whose agent reports to this entry.
type engine struct {
	host    netip.Addr
	service string
}

// engines returns the engines that this entry asks for reports: those of its
// region and some of the others, chosen by its name so that all engines have
// about the same number of entries.
func (g *Gateway) engines(table *serving.Table, name string) []engine {
	near, far, services := g.engineAddresses(table)
	chosen := append(rendezvous.Rank(name, near, maxNearEngines), rendezvous.Rank(name, far, maxFarEngines)...)
	engines := make([]engine, 0, len(chosen))
	for _, address := range chosen {
		if parsed, err := netip.ParseAddrPort(address); err == nil {
			engines = append(engines, engine{host: parsed.Addr(), service: services[address]})
		}
	}
	return engines
}

// engineAddresses returns the addresses of the engines of this entry's region
// and of the others, and the service of each.
func (g *Gateway) engineAddresses(table *serving.Table) (near, far []string, services map[string]string) {
	regions := g.config.Placement.Regions
	own := regions[g.config.Placement.Domain]
	services = make(map[string]string)
	g.mu.Lock()
	defer g.mu.Unlock()
	g.directory.All(func(s *directory.Server) {
		service := table.Service(s.Service)
		if service == nil || service.Engine == nil || services[s.Address] != "" {
			return
		}
		services[s.Address] = s.Service
		if regions[s.Domain] == own {
			near = append(near, s.Address)
			return
		}
		far = append(far, s.Address)
	})
	return near, far, services
}

// takeStatus takes an agent's report on the engine at its address. It applies
// to the server that is registered there with the same start.
func (g *Gateway) takeStatus(status peerlink.Status) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.now()
	if status.Entries > 0 {
		g.budget.SetEntries(status.Entries)
	}
	server := g.directory.At(status.Address)
	if server == nil {
		return
	}
	if status.Born != 0 && server.Born != 0 && status.Born != server.Born {
		if status.Born > server.Born {
			// The row of the later start is on its way; the listed one has ended.
			g.picker.Superseded(server.Key())
		}
		return
	}
	if status.Model != "" && server.Weights[status.Model].Version < status.Version {
		updated := *server
		updated.Weights = map[string]directory.Weights{status.Model: {Version: status.Version, Whole: true}}
		g.directory.Amend(&updated)
	}
	g.picker.Report(server.Key(), placement.Load{
		Running: status.Running, Waiting: status.Waiting, ReadingTokens: status.ReadingTokens, Pace: status.Pace, Closed: status.Closed,
	}, now)
}

// takeUsage takes what another entry has at a server.
func (g *Gateway) takeUsage(u peerlink.Usage) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if server := g.directory.At(u.Server); server != nil {
		g.picker.Neighbour(server.Key(), u.Entry, placement.Usage{Running: u.Running, Reading: u.Reading, ReadingTokens: u.ReadingTokens}, g.now())
	}
}

// tellUsage tells the neighbours what this entry has at a server. The caller
// does not hold mu.
func (g *Gateway) tellUsage(lease *placement.Lease, u placement.Usage) {
	if g.usage != nil {
		g.usage(peerlink.Usage{Server: lease.Server.Address, Running: u.Running, Reading: u.Reading, ReadingTokens: u.ReadingTokens})
	}
}

package gateway

import (
	"context"
	"net"
	"net/netip"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/auburnbend/auburnbend/lib/directory"
	"github.com/auburnbend/auburnbend/lib/placement"
	"github.com/auburnbend/auburnbend/peerlink"
)

const (
	// subscribeInterval is how often the agents are asked for load reports.
	subscribeInterval = time.Second
	// maxDatagram bounds a datagram in bytes.
	maxDatagram = 1200
)

// Loads takes load reports from the agents of model engines.
type Loads struct {
	gateway *Gateway
	name    string
	port    int
	conn    *net.UDPConn
	// sequences are the newest reports by engine; they belong to the receiving
	// goroutine.
	sequences map[string]uint64
}

// NewLoads listens on an IP address and port. Agents listen on the same port.
func NewLoads(g *Gateway, name, address string, port int) (*Loads, error) {
	conn, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.ParseIP(address), Port: port})
	if err != nil {
		return nil, err
	}
	return &Loads{gateway: g, name: name, port: port, conn: conn, sequences: make(map[string]uint64)}, nil
}

// Run asks for reports and takes them until ctx ends.
func (l *Loads) Run(ctx context.Context) {
	stop := context.AfterFunc(ctx, func() { _ = l.conn.Close() })
	defer stop()
	go l.receive(ctx)
	ask, err := msgpack.Marshal(&peerlink.Subscription{Entry: l.name})
	if err != nil {
		panic(err)
	}
	ticker := time.NewTicker(subscribeInterval)
	defer ticker.Stop()
	for ctx.Err() == nil {
		for _, agent := range l.gateway.engineHosts() {
			// A lost datagram is replaced by the next one.
			_, _ = l.conn.WriteToUDPAddrPort(ask, netip.AddrPortFrom(agent, uint16(l.port)))
		}
		select {
		case <-ctx.Done():
		case <-ticker.C:
		}
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
		var s peerlink.Status
		if msgpack.Unmarshal(buf[:n], &s) != nil {
			continue
		}
		// Datagrams may overtake each other. A restarted agent begins anew.
		if last := l.sequences[s.Address]; s.Sequence <= last && last-s.Sequence < reorderWindow {
			continue
		}
		l.sequences[s.Address] = s.Sequence
		l.gateway.takeStatus(s)
	}
}

// reorderWindow is the number of reports by which one may be overtaken.
const reorderWindow = 50

// engineHosts returns the hosts of all engines.
func (g *Gateway) engineHosts() []netip.Addr {
	table := g.table.Load()
	if table == nil {
		return nil
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	var hosts []netip.Addr
	g.directory.All(func(s *directory.Server) {
		service := table.Service(s.Service)
		if service == nil || service.Engine == nil {
			return
		}
		if address, err := netip.ParseAddrPort(s.Address); err == nil {
			hosts = append(hosts, address.Addr())
		}
	})
	return hosts
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
	var server *directory.Server
	g.directory.All(func(s *directory.Server) {
		if s.Address == status.Address {
			server = s
		}
	})
	if server == nil || status.Born != 0 && server.Born != 0 && status.Born != server.Born {
		return
	}
	if status.Model != "" && server.Weights[status.Model].Version < status.Version {
		updated := *server
		updated.Weights = map[string]directory.Weights{status.Model: {Version: status.Version, Whole: true}}
		g.directory.Put(&updated)
	}
	g.picker.Report(server.Key(), placement.Load{
		Running: status.Running, Waiting: status.Waiting, Pace: status.Pace, Closed: status.Closed,
	}, now)
}

package node

import (
	"context"
	"net"
	"net/netip"
	"strconv"

	"github.com/auburnbend/auburnbend/gateway"
	"github.com/auburnbend/auburnbend/lib/eventlog"
	"github.com/auburnbend/auburnbend/lib/relay"
	"github.com/auburnbend/auburnbend/lib/watch"
	"github.com/auburnbend/auburnbend/platform"
)

// storeTables follows the tables of the store for an entry, through another entry
// of the region where that saves calls, and passes them on to others.
type storeTables struct {
	gateway *gateway.Gateway
	loads   *gateway.PeerLink
	store   *platform.Store
	caches  map[string]*relay.Cache
	ln      net.Listener
	log     *eventlog.Logger
}

func newStoreTables(g *gateway.Gateway, loads *gateway.PeerLink, s *platform.Settings, log *eventlog.Logger) (*storeTables, error) {
	ln, err := net.Listen("tcp", net.JoinHostPort(s.Address, strconv.Itoa(s.FirstPort)))
	if err != nil {
		return nil, err
	}
	return &storeTables{
		gateway: g, loads: loads, store: platform.NewStore(s.StoreAddress), ln: ln, log: log,
		caches: map[string]*relay.Cache{
			platform.TableOperator: relay.NewCache(operatorRelay(&s.Bounds)),
			platform.TableServers:  relay.NewCache(serversRelay(&s.Bounds)),
		},
	}, nil
}

// run serves the tables to others until ctx ends.
func (t *storeTables) run(ctx context.Context) {
	relay.NewServer(t.caches, t.gateway.Draining).Run(ctx, t.ln)
}

// follow passes a table to a handler until ctx ends.
func (t *storeTables) follow(ctx context.Context, table string, config relay.Config, handler watch.Handler) {
	choose := func() relay.Role { return t.choose(table, config) }
	onPath := func(through netip.AddrPort, reason error) {
		t.log.Log(eventlog.StorePathChanged, "table", table, "direct", !through.IsValid(), "entry", through, "err", reason)
	}
	source := relay.NewSource(table, t.store.Table(table), t.caches[table], choose, onPath)
	watch.New(watch.Config{LongPollTimeout: config.Wait}, source, handler).Run(ctx)
}

// choose returns whom this entry follows: the first one of the region in the order
// for the table, if that saves calls of the store.
func (t *storeTables) choose(table string, config relay.Config) relay.Role {
	ranked := t.loads.Rank("read/" + table)
	switch {
	case t.gateway.Draining() || !config.SavesStoreCalls(len(ranked)):
		return relay.Role{}
	case ranked[0] == t.loads.Self():
		return relay.Role{HasFollowers: true}
	default:
		return relay.Role{Upstream: ranked[0]}
	}
}

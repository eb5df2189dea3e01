package node

import (
	"context"
	"net"
	"net/netip"
	"strconv"

	"github.com/auburnbend/auburnbend/gateway"
	"github.com/auburnbend/auburnbend/lib/connlimit"
	"github.com/auburnbend/auburnbend/lib/eventlog"
	"github.com/auburnbend/auburnbend/lib/relay"
	"github.com/auburnbend/auburnbend/lib/rowage"
	"github.com/auburnbend/auburnbend/lib/watch"
	"github.com/auburnbend/auburnbend/platform"
)

// storeTables follows the tables of the store for an entry, through another entry of
// the region if that saves calls of the store, and serves them to other instances.
type storeTables struct {
	gateway  *gateway.Gateway
	peerLink *gateway.PeerLink
	store    *platform.Store
	caches   map[string]*relay.Cache
	ln       net.Listener
	log      *eventlog.Logger
}

func newStoreTables(g *gateway.Gateway, peerLink *gateway.PeerLink, s *platform.Settings, log *eventlog.Logger) (*storeTables, error) {
	ln, err := net.Listen("tcp", net.JoinHostPort(s.Address, strconv.Itoa(s.FirstPort)))
	if err != nil {
		return nil, err
	}
	return &storeTables{
		gateway: g, peerLink: peerLink, store: platform.NewStore(s.StoreAddress), ln: connlimit.Listen(ln, newConnLimits(s).tables), log: log,
		caches: map[string]*relay.Cache{
			platform.TableOperator: relay.NewCache(operatorRelayConfig(&s.Bounds)),
			platform.TableServers:  relay.NewCache(serversRelayConfig(&s.Bounds)),
		},
	}, nil
}

// run serves the tables to other instances until ctx ends.
func (t *storeTables) run(ctx context.Context) {
	relay.NewServer(t.caches, t.gateway.Draining).Run(ctx, t.ln)
}

// follow passes the rows of a table and their changes to handler until ctx ends. ages
// bounds their age; nil leaves it unknown.
func (t *storeTables) follow(ctx context.Context, table string, config relay.Config, ages *rowage.Tracker, watchConfig watch.Config, handler watch.Handler) {
	role := func() relay.Role { return t.role(table, config) }
	onPathChange := func(through netip.AddrPort, reason error) {
		t.log.Log(eventlog.StorePathChanged, "table", table, "direct", !through.IsValid(), "entry", through, "err", reason)
	}
	source := relay.NewSource(table, t.store.Table(table), t.caches[table], role, onPathChange)
	if ages != nil {
		source.TrackAges(ages)
	}
	watchConfig.OnRestored = func(delivered, answered watch.Position) {
		logPositions(t.log, eventlog.StoreRestored, table, delivered, answered)
	}
	watchConfig.OnStale = func(delivered, answered watch.Position) {
		logPositions(t.log, eventlog.StoreBehind, table, delivered, answered)
	}
	watch.New(watchConfig, source, handler).Run(ctx)
}

// logPositions logs an event of a store that has gone back from what was known of it.
func logPositions(log *eventlog.Logger, event eventlog.Event, table string, known, answered watch.Position) {
	log.Log(event, "table", table, "era", answered.Era, "revision", answered.Revision, "known_era", known.Era, "known_revision", known.Revision)
}

// role returns the role of this entry in relaying a table: it follows the first entry
// in the region's order for the table, or has followers if it is the first one. It
// reads the store without followers if it is draining or if relaying would not save
// calls of the store. The entries of the region become known from the table of servers, so
// that only that of the operator waits for them.
func (t *storeTables) role(table string, config relay.Config) relay.Role {
	ranked := t.peerLink.Rank("read/" + table)
	switch {
	case t.gateway.Draining():
		return relay.Role{}
	case !config.SavesStoreCalls(len(ranked)):
		return relay.Role{Pending: table == platform.TableOperator && t.peerLink.AwaitsMembers()}
	default:
		return relay.RoleIn(ranked, t.peerLink.Self())
	}
}

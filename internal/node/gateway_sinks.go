package node

import (
	"sync/atomic"
	"time"

	"github.com/auburnbend/auburnbend/gateway"
	"github.com/auburnbend/auburnbend/lib/directory"
	"github.com/auburnbend/auburnbend/lib/eventlog"
	"github.com/auburnbend/auburnbend/lib/serving"
	"github.com/auburnbend/auburnbend/lib/watch"
	"github.com/auburnbend/auburnbend/platform"
)

// gatewayOperator passes what the operator declares to a gateway.
type gatewayOperator struct {
	gateway *gateway.Gateway
	log     *eventlog.Logger
	// storeLost tells that the store does not answer.
	storeLost atomic.Bool
}

var _ platform.OperatorSink = (*gatewayOperator)(nil)

func (o *gatewayOperator) Config(c *serving.Config) {
	if o.gateway.SetConfig(c) {
		o.log.Log(eventlog.LiveConfigApplied, "config", c.Version, "revision", c.Revision, "routes", len(c.Routes), "teams", len(c.Teams))
	}
}

func (o *gatewayOperator) TargetVersion(w platform.TargetVersion, fresh bool) {
	o.gateway.SetWantedVersion(w.Model, w.Version, fresh)
	o.log.Log(eventlog.VersionDeclared, "model", w.Model, "version", w.Version, "fresh", fresh)
}

func (o *gatewayOperator) InvalidRow(row watch.Row, err error) { logUnreadable(o.log, row, err) }

func (o *gatewayOperator) StoreLost(err error) {
	o.storeLost.Store(true)
	o.log.Log(eventlog.StoreLost, "err", err)
}

func (o *gatewayOperator) StoreRecovered() {
	o.storeLost.Store(false)
	o.log.Log(eventlog.StoreRegained)
}

// gatewayServers passes the registered backend servers to a gateway.
type gatewayServers struct {
	gateway *gateway.Gateway
	log     *eventlog.Logger
}

var _ platform.ServerSink = (*gatewayServers)(nil)

func (s *gatewayServers) Replace(servers []*directory.Server, recovered bool) {
	s.gateway.ReplaceServers(servers, recovered)
	s.log.Log(eventlog.ServerListRead, "servers", len(servers), "after_outage", recovered)
}

func (s *gatewayServers) Apply(changes []directory.Change, recovered bool) {
	s.gateway.UpdateServers(func(d *directory.Directory, now time.Time) { d.Apply(changes, recovered, now) })
	for _, c := range changes {
		if c.Server == nil {
			s.log.Log(eventlog.ServerRemoved, "server", c.ID, "after_outage", recovered)
			continue
		}
		s.log.Log(eventlog.ServerRegistered, "server", c.ID, "service", c.Server.Service, "address", c.Server.Address,
			"domain", c.Server.Domain, "draining", c.Server.Draining, "weights", weightsText(c.Server.Weights))
	}
}

func (s *gatewayServers) InvalidRow(row watch.Row, err error) { logUnreadable(s.log, row, err) }

func logUnreadable(log *eventlog.Logger, row watch.Row, err error) {
	log.Log(eventlog.RowInvalid, "key", row.Key, "revision", row.Revision, "err", err)
}

package node

import (
	"sync/atomic"
	"time"

	"github.com/auburnbend/auburnbend/gateway"
	"github.com/auburnbend/auburnbend/lib/clock"
	"github.com/auburnbend/auburnbend/lib/directory"
	"github.com/auburnbend/auburnbend/lib/eventlog"
	"github.com/auburnbend/auburnbend/lib/serving"
	"github.com/auburnbend/auburnbend/lib/watch"
	"github.com/auburnbend/auburnbend/platform"
)

// operatorSink applies the rows of the operator's table to a gateway.
type operatorSink struct {
	gateway *gateway.Gateway
	log     *eventlog.Logger
	// clock is that of the rows' ages.
	clock clock.Clock
	// storeUnavailable is true while the store does not answer.
	storeUnavailable atomic.Bool
}

var _ platform.OperatorSink = (*operatorSink)(nil)

func (o *operatorSink) Config(c *serving.Config) {
	if o.gateway.SetConfig(c) {
		logLiveConfig(o.log, c)
	}
}

func (o *operatorSink) TargetVersion(v platform.TargetVersion, fresh bool) {
	if v.DeclaredAfter.IsZero() {
		o.gateway.SetEarlierVersion(v.Model, v.Version)
		o.log.Log(eventlog.VersionDeclared, "model", v.Model, "version", v.Version, "fresh", fresh)
		return
	}
	maxAge := o.clock.Now().Sub(v.DeclaredAfter)
	o.gateway.SetTargetVersion(v.Model, v.Version, maxAge)
	o.log.Log(eventlog.VersionDeclared, "model", v.Model, "version", v.Version, "fresh", fresh, "max_age_ms", maxAge.Milliseconds())
}

func (o *operatorSink) Evacuated(domains []string) {
	evacuated, restored := o.gateway.SetEvacuated(domains)
	for _, domain := range evacuated {
		o.log.Log(eventlog.DomainEvacuated, "domain", domain)
	}
	for _, domain := range restored {
		o.log.Log(eventlog.DomainRestored, "domain", domain)
	}
}

func (o *operatorSink) InvalidRow(row watch.Row, err error) { logInvalidRow(o.log, row, err) }

func (o *operatorSink) StoreLost(err error) {
	o.storeUnavailable.Store(true)
	o.log.Log(eventlog.StoreLost, "err", err)
}

func (o *operatorSink) StoreRecovered() {
	o.storeUnavailable.Store(false)
	o.log.Log(eventlog.StoreRegained)
}

// serverSink applies the rows of the table of backend servers to a gateway.
type serverSink struct {
	gateway *gateway.Gateway
	log     *eventlog.Logger
	// rowRemovalTime is the longest time in which the store removes the row of a silent
	// server.
	rowRemovalTime time.Duration
}

var _ platform.ServerSink = (*serverSink)(nil)

func (s *serverSink) Replace(servers []*directory.Server, recovered, restored bool) {
	if restored {
		s.gateway.RestoreServers(servers, s.rowRemovalTime)
	} else {
		s.gateway.ReplaceServers(servers, recovered)
	}
	s.log.Log(eventlog.ServerListRead, "servers", len(servers), "after_outage", recovered, "restored", restored)
}

func (s *serverSink) Apply(changes []directory.Change, recovered bool) {
	s.gateway.UpdateServers(func(d *directory.Directory, now time.Time) { d.Apply(changes, recovered, now) })
	for _, c := range changes {
		if c.Invalid {
			// InvalidRow has logged it.
			continue
		}
		if c.Server == nil {
			s.log.Log(eventlog.ServerRemoved, "server", c.ID, "after_outage", recovered)
			continue
		}
		s.log.Log(eventlog.ServerRegistered, "server", c.ID, "service", c.Server.Service, "address", c.Server.Address,
			"domain", c.Server.Domain, "draining", c.Server.Draining, "cold_ms", c.Server.ColdTime.Milliseconds(), "weights", formatWeights(c.Server.Weights))
	}
}

func (s *serverSink) InvalidRow(row watch.Row, err error) { logInvalidRow(s.log, row, err) }

// maxLoggedError bounds the error that is logged for a row in bytes: encoding/json
// repeats numbers that it cannot decode.
const maxLoggedError = 300

func logLiveConfig(log *eventlog.Logger, c *serving.Config) {
	log.Log(eventlog.LiveConfigApplied, "config", c.Version, "era", c.Era, "revision", c.Revision, "routes", len(c.Routes), "teams", len(c.Teams), "keys_required", c.RequiresKeys())
}

func logInvalidRow(log *eventlog.Logger, row watch.Row, err error) {
	text := err.Error()
	log.Log(eventlog.RowInvalid, "key", row.Key, "revision", row.Revision, "err", text[:min(len(text), maxLoggedError)])
}

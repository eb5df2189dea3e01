package soak

import (
	"fmt"
	"time"

	"github.com/auburnbend/auburnbend/platform/platformtest"
)

const (
	entryCount  = 3
	engineCount = 4
	plainCount  = 4

	callersPort = 8005
	readyPort   = 8002
	serverPort  = 9000
	// upstreamPort is the port of a server behind its proxy.
	upstreamPort = 9100
	storePort    = 8007
	peerPort     = 7700

	host  = "soak.example"
	model = "m"
	team  = "bakers"
	key   = "key-of-the-bakers"

	engineSlots     = 8
	plainSlots      = 6
	eventsPerStream = 12
	eventInterval   = 25 * time.Millisecond
	plainWorkTime   = 15 * time.Millisecond
	originMbps      = 20

	// poisonBody is the body of poison requests. They crash each server that runs them,
	// which restarts after poisonRestartDelay. One is sent per poisonInterval.
	poisonBody         = "poison"
	poisonRestartDelay = time.Second
	poisonInterval     = 150 * time.Millisecond
	// retryAfterSeconds is the Retry-After of servers that ask for a pause.
	retryAfterSeconds = 2

	engineService = "engines"
	movingPrefix  = "/moving/"
)

// timeBounds are the bounds that the daemons must meet.
type timeBounds struct{ platformtest.Bounds }

func (b timeBounds) drainTime() time.Duration { return time.Duration(b.DrainMS) * time.Millisecond }

func (b timeBounds) configTime() time.Duration { return time.Duration(b.ConfigMS) * time.Millisecond }

func (b timeBounds) versionTime() time.Duration { return time.Duration(b.VersionMS) * time.Millisecond }

var bounds = timeBounds{platformtest.Bounds{
	DrainMS: 2000, StopMS: 8000, ConfigMS: 2000, StabilityMS: 3000, VersionMS: 8000, RetryRatio: 0.2, RetrySlack: 100, RetryWindowS: 10,
}}

// relayStabilityMS replaces the stability time in the settings of runs with relayed
// reads of the store. It makes store calls so short that relaying already saves calls
// with two entries per region. The checks still use stabilityTime.
const relayStabilityMS = 500

const (
	// stabilityTime is the time after a fault in which bounds need not hold.
	stabilityTime = 3 * time.Second
	// recoveryTime is the time after the last step within which the deployment must
	// serve again. It is half of what the users' smaller deployments require.
	recoveryTime = 6 * time.Second
	// crashedRowExpiry is the time after a crash until the row of the server is removed.
	crashedRowExpiry = 3600 * time.Millisecond
)

var weights = platformtest.Weights{Model: model, Pieces: 24, PieceSize: 4096}

// regions maps each failure domain to its region.
var regions = map[string]string{"north": "n", "south": "s"}

// domains are the names of the failure domains.
var domains = []string{"north", "south"}

// plainServices are the services of plain servers. The route with movingPrefix changes
// between them with each version of the configuration.
var plainServices = []string{"desk-a", "desk-b"}

// movingService returns the service of the route with movingPrefix.
func movingService(version int) string { return plainServices[version%len(plainServices)] }

// route is a declared route with its share of the traffic.
type route struct {
	platformtest.Route
	// share is the fraction of the requests that use the route.
	share float64
}

func (r *route) streams() bool { return r.Kind == "streaming" }

// repeatable reports whether a request on the route may run more than once.
func (r *route) repeatable() bool {
	return r.Kind == "idempotent" || r.streams() && r.Resumable
}

var routes = []route{
	{platformtest.Route{Host: host, Prefix: "/resumed/", Kind: "streaming", Service: engineService, TimeoutMS: 4000, TargetMS: 500, MaxServers: 2, Resumable: true}, 0.35},
	{platformtest.Route{Host: host, Prefix: "/once/", Kind: "streaming", Service: engineService, TimeoutMS: 4000, TargetMS: 500, MaxServers: 2}, 0.15},
	{platformtest.Route{Host: host, Prefix: "/order/", Kind: "non_idempotent", Service: plainServices[0], TimeoutMS: 1500, TargetMS: 150, MaxServers: 2}, 0.2},
	{platformtest.Route{Host: host, Prefix: "/status/", Kind: "idempotent", Service: plainServices[1], TimeoutMS: 1500, TargetMS: 150, MaxServers: 2}, 0.15},
	{platformtest.Route{Host: host, Prefix: movingPrefix, Kind: "idempotent", TimeoutMS: 1500, TargetMS: 150, MaxServers: 2}, 0.15},
}

// liveConfig returns a version of the live configuration.
func liveConfig(version int, origin string) platformtest.LiveConfig {
	c := platformtest.LiveConfig{
		Version: version, EngineService: engineService, Slots: engineSlots, Weights: weights, Origin: origin, OriginMbps: originMbps,
		PlainServices: plainServices, Team: team, APIKey: key,
	}
	for _, r := range routes {
		if r.Prefix == movingPrefix {
			r.Service = movingService(version)
		}
		c.Routes = append(c.Routes, r.Route)
	}
	return c
}

// address returns an address of the form host:port. The loopback addresses of each slot
// are different, so that runs can be concurrent.
func address(slot, group, number, port int) string {
	return fmt.Sprintf("%s:%d", ip(slot, group, number), port)
}

func ip(slot, group, number int) string {
	return fmt.Sprintf("127.%d.%d.%d", firstSubnet+slot, group, number+1)
}

// firstSubnet is the subnet of slot 0.
const firstSubnet = 20

// Groups of loopback addresses in a slot.
const (
	groupStore = iota
	groupEntry
	groupEngine
	groupPlain
	groupOrigin
	groupAgent
)

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
	// behindPort is where a server listens behind its proxy.
	behindPort = 9100
	storePort  = 8007
	peerPort   = 7700

	host  = "soak.example"
	model = "m"
	team  = "bakers"
	key   = "key-of-the-bakers"

	engineSlots     = 8
	plainSlots      = 6
	eventsPerStream = 12
	eventTime       = 25 * time.Millisecond
	plainTime       = 15 * time.Millisecond
	originMbps      = 20

	// poisonBody ends each server that begins to run it, which serves again after
	// poisonPause. It is asked once in poisonInterval.
	poisonBody     = "poison"
	poisonPause    = time.Second
	poisonInterval = 150 * time.Millisecond
	// pauseSeconds is the pause that servers ask for.
	pauseSeconds = 2

	enginesService = "engines"
	movingPrefix   = "/moving/"
)

// limits are the times that the soak's deployment demands.
type limits struct{ platformtest.Bounds }

func (l limits) drain() time.Duration   { return time.Duration(l.DrainMS) * time.Millisecond }
func (l limits) config() time.Duration  { return time.Duration(l.ConfigMS) * time.Millisecond }
func (l limits) version() time.Duration { return time.Duration(l.VersionMS) * time.Millisecond }

var bounds = limits{platformtest.Bounds{
	DrainMS: 2000, StopMS: 8000, ConfigMS: 2000, StableMS: 3000, VersionMS: 8000, RetryRatio: 0.2, RetrySlack: 100, RetryWindowS: 10,
}}

// relayedStableMS makes calls of the store so short that two entries of a region
// already save some by reading it through one of them. What the checks excuse stays
// as it is.
const relayedStableMS = 500

const (
	// stable is the time after a fault in which bounds do not hold yet.
	stable = 3 * time.Second
	// recoverTime is the time in which the deployment serves again after a fault,
	// half of what the smaller deployments of the users demand.
	recoverTime = 6 * time.Second
	// lapse is the time after which the row of a crashed server goes.
	lapse = 3600 * time.Millisecond
)

var weights = platformtest.Weights{Model: model, Pieces: 24, PieceSize: 4096}

// regions gives the region of each failure domain.
var regions = map[string]string{"north": "n", "south": "s"}

// domains are the failure domains by number.
var domains = []string{"north", "south"}

// plainServices are the services of plain servers; the moving route changes
// between them with each configuration.
var plainServices = []string{"desk-a", "desk-b"}

func movingService(version int) string { return plainServices[version%len(plainServices)] }

// route is a route with the traffic that it gets.
type route struct {
	platformtest.Route
	// share is the part of the requests that take it.
	share float64
}

func (r *route) streams() bool { return r.Kind == "streaming" }

// repeatable reports whether a request may run more than once.
func (r *route) repeatable() bool {
	return r.Kind == "idempotent" || r.streams() && r.Resumable
}

var routes = []route{
	{platformtest.Route{Host: host, Prefix: "/resumed/", Kind: "streaming", Service: enginesService, TimeoutMS: 4000, TargetMS: 500, MaxServers: 2, Resumable: true}, 0.35},
	{platformtest.Route{Host: host, Prefix: "/once/", Kind: "streaming", Service: enginesService, TimeoutMS: 4000, TargetMS: 500, MaxServers: 2}, 0.15},
	{platformtest.Route{Host: host, Prefix: "/order/", Kind: "non_idempotent", Service: plainServices[0], TimeoutMS: 1500, TargetMS: 150, MaxServers: 2}, 0.2},
	{platformtest.Route{Host: host, Prefix: "/status/", Kind: "idempotent", Service: plainServices[1], TimeoutMS: 1500, TargetMS: 150, MaxServers: 2}, 0.15},
	{platformtest.Route{Host: host, Prefix: movingPrefix, Kind: "idempotent", TimeoutMS: 1500, TargetMS: 150, MaxServers: 2}, 0.15},
}

// declaration is a version of the configuration.
func declaration(version int, origin string) platformtest.LiveConfig {
	d := platformtest.LiveConfig{
		Version: version, EngineService: enginesService, Slots: engineSlots, Weights: weights, Origin: origin, OriginMbps: originMbps,
		PlainServices: plainServices, Team: team, APIKey: key,
	}
	for _, r := range routes {
		if r.Prefix == movingPrefix {
			r.Service = movingService(version)
		}
		d.Routes = append(d.Routes, r.Route)
	}
	return d
}

// address returns an address of a run. Each run has loopback addresses of its
// own, so that several can go on at the same time.
func address(slot, group, number, port int) string {
	return fmt.Sprintf("%s:%d", ip(slot, group, number), port)
}

func ip(slot, group, number int) string { return fmt.Sprintf("127.%d.%d.%d", 20+slot, group, number+1) }

// Groups of loopback addresses.
const (
	groupStore = iota
	groupEntry
	groupEngine
	groupPlain
	groupOrigin
)

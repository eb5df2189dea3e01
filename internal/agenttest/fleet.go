package agenttest

import (
	"context"
	"math/rand"
	randv2 "math/rand/v2"
	"net"
	"time"

	"github.com/auburnbend/auburnbend/entry/fleet"
	"github.com/auburnbend/auburnbend/lib/backing"
	"github.com/auburnbend/auburnbend/lib/clock"
	"github.com/auburnbend/auburnbend/lib/eventlog"
	"github.com/auburnbend/auburnbend/lib/follow"
	"github.com/auburnbend/auburnbend/lib/model"
	"github.com/auburnbend/auburnbend/lib/wire"
)

// FleetConfig returns the configuration of the agent fleet of an entry at a location,
// with short intervals for tests.
func FleetConfig(location model.Location, list backing.InstanceList) fleet.Config {
	identity := model.Identity{Instance: "entry", Generation: 1, Location: location, Address: "127.0.0.1:1"}
	return fleet.Config{
		Identity: identity,
		Clock:    clock.System{},
		Rand:     randv2.New(randv2.NewPCG(1, 0)),
		Log:      eventlog.Discard(),
		Dial: func(ctx context.Context, address string) (*wire.Conn, wire.Hello, error) {
			var d net.Dialer
			nc, err := d.DialContext(ctx, "tcp", address)
			if err != nil {
				return nil, wire.Hello{}, err
			}
			return wire.Handshake(nc, wire.Hello{Role: wire.RoleEntry, Identity: identity})
		},
		InstanceList: list,
		Follower: follow.New(follow.Config{
			Clock: clock.System{}, Rand: rand.New(rand.NewSource(1)), Log: eventlog.Discard(),
			Heartbeat: func() wire.Heartbeat { return wire.Heartbeat{} },
		}),
		ListInterval: 50 * time.Millisecond, TickInterval: 10 * time.Millisecond, CacheFetchInterval: 20 * time.Millisecond,
		HandleOther: func(wire.Hello, wire.Message, func(wire.Message) error) {},
		Draining:    func() bool { return false },
	}
}

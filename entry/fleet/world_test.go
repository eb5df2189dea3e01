package fleet_test

import (
	"context"
	"math/rand"
	randv2 "math/rand/v2"
	"net"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/auburnbend/auburnbend/entry/fleet"
	"github.com/auburnbend/auburnbend/internal/agenttest"
	"github.com/auburnbend/auburnbend/lib/clock"
	"github.com/auburnbend/auburnbend/lib/eventlog"
	"github.com/auburnbend/auburnbend/lib/follow"
	"github.com/auburnbend/auburnbend/lib/model"
	"github.com/auburnbend/auburnbend/lib/wire"
	"github.com/auburnbend/auburnbend/standin/instances"
)

const (
	pool   = "drafting"
	settle = 15 * time.Second
)

var (
	location = model.Location{Region: "kigali", FailureDomain: "kigali"}
	loaded   = model.Weights{Base: model.Sum([]byte("loaded"))}
)

// world is a fleet with fake agents.
type world struct {
	list  *instances.List
	fleet *fleet.Fleet
}

func newWorld() *world {
	w := &world{list: instances.New(instances.Config{})}
	identity := model.Identity{Instance: "entry", Generation: 1, Location: location, Address: "127.0.0.1:1"}
	w.fleet = fleet.New(fleet.Config{
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
		List: w.list,
		Follower: follow.New(follow.Config{
			Clock: clock.System{}, Rand: rand.New(rand.NewSource(1)), Log: eventlog.Discard(),
			Beat: func() wire.Heartbeat { return wire.Heartbeat{} },
		}),
		ListInterval: 50 * time.Millisecond, Tick: 10 * time.Millisecond, CacheFetchInterval: 20 * time.Millisecond,
		Other:    func(wire.Hello, wire.Message, func(wire.Message) error) {},
		Draining: func() bool { return false },
	})
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		w.fleet.Run(ctx)
	}()
	DeferCleanup(func() {
		cancel()
		<-ended
	})
	return w
}

func (w *world) agent(name model.InstanceID, generation model.Generation) *agenttest.Agent {
	a, err := agenttest.Start(model.Identity{Instance: name, Generation: generation, Location: location}, pool, loaded)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(a.Stop)
	w.list.Set(a.Instance())
	return a
}

func (w *world) usable(n int) {
	Eventually(w.fleet.Usable).WithTimeout(settle).Should(Equal(n))
}

// crash reports the death of a backend server with requests in flight and waits
// until the fleet knows of it.
func (w *world) crash(a *agenttest.Agent, f ...model.Fingerprint) {
	a.Broadcast(&wire.CrashReport{Incarnation: 1, InFlight: f})
	marked := wire.Load{Capacity: 4, FirstTokenMillis: 77}
	a.SetLoad(marked)
	Eventually(w.fleet.Members).WithTimeout(settle).Should(ContainElement(SatisfyAll(
		HaveField("Identity.Instance", a.Identity().Instance), HaveField("Heartbeat.Load", marked))))
}

func wish() *fleet.Wish {
	return &fleet.Wish{Pool: pool, Weights: []model.Weights{loaded}, Finger: finger("harmless")}
}

func finger(body string) model.Fingerprint {
	return model.FingerprintOf("tenant", "draft", []byte(body))
}

package fleet_test

import (
	"context"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/auburnbend/auburnbend/entry/fleet"
	"github.com/auburnbend/auburnbend/internal/agenttest"
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

// testFleet is a Fleet with fake agents.
type testFleet struct {
	list  *instances.List
	fleet *fleet.Fleet
}

func newTestFleet(change ...func(*fleet.Config)) *testFleet {
	t := &testFleet{list: instances.New(instances.Config{})}
	config := agenttest.FleetConfig(location, t.list)
	for _, f := range change {
		f(&config)
	}
	t.fleet = fleet.New(config)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		t.fleet.Run(ctx)
	}()
	DeferCleanup(func() {
		cancel()
		<-ended
	})
	return t
}

// agent starts a fake agent and adds it to the instance list.
func (t *testFleet) agent(name model.InstanceID, generation model.Generation) *agenttest.Agent {
	a, err := agenttest.Start(model.Identity{Instance: name, Generation: generation, Location: location}, pool, loaded)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(a.Stop)
	t.list.Set(a.Instance())
	return a
}

// waitForUsable waits until the Fleet has n usable agents.
func (t *testFleet) waitForUsable(n int) {
	Eventually(t.fleet.UsableAgents).WithTimeout(settle).Should(Equal(n))
}

// crash reports a crash of an agent's backend server with requests in flight and
// waits until the Fleet has processed the report.
func (t *testFleet) crash(a *agenttest.Agent, f ...model.Fingerprint) {
	a.Broadcast(&wire.CrashReport{Incarnation: 1, InFlight: f})
	// The load marks a heartbeat that the agent sends after the report.
	marked := wire.Load{Capacity: 4, FirstTokenMillis: 77}
	a.SetLoad(marked)
	Eventually(t.fleet.Members).WithTimeout(settle).Should(ContainElement(SatisfyAll(
		HaveField("Identity.Instance", a.Identity().Instance), HaveField("Heartbeat.Load", marked))))
}

func requirements() *fleet.Requirements {
	return &fleet.Requirements{Pool: pool, Weights: []model.Weights{loaded}, Fingerprint: fingerprint("harmless")}
}

func fingerprint(body string) model.Fingerprint {
	return model.FingerprintOf("tenant", "draft", []byte(body))
}

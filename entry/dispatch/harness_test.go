package dispatch_test

import (
	"context"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/auburnbend/auburnbend/entry/caller"
	"github.com/auburnbend/auburnbend/entry/dispatch"
	"github.com/auburnbend/auburnbend/entry/fleet"
	"github.com/auburnbend/auburnbend/internal/agenttest"
	"github.com/auburnbend/auburnbend/lib/claim"
	"github.com/auburnbend/auburnbend/lib/clock"
	"github.com/auburnbend/auburnbend/lib/config"
	"github.com/auburnbend/auburnbend/lib/eventlog"
	"github.com/auburnbend/auburnbend/lib/model"
	"github.com/auburnbend/auburnbend/lib/outcome"
	"github.com/auburnbend/auburnbend/lib/wire"
	"github.com/auburnbend/auburnbend/standin/instances"
	"github.com/auburnbend/auburnbend/standin/table"
)

const (
	pool = "orders"
	// testTimeout limits waits in the tests.
	testTimeout = 10 * time.Second
)

var location = model.Location{Region: "kigali", FailureDomain: "kigali"}

// noMetrics implements dispatch.Metrics and discards all measurements.
type noMetrics struct{}

func (noMetrics) ObserveQueueTime(model.Tenant, model.Class, time.Duration)     {}
func (noMetrics) ObserveFirstToken(model.Tenant, model.Class, time.Duration)    {}
func (noMetrics) ObserveBetweenTokens(model.Tenant, model.Class, time.Duration) {}
func (noMetrics) ObserveTotal(model.Tenant, model.Class, time.Duration, outcome.Outcome, outcome.Reason) {
}

// call is one request with its response. It implements caller.ResponseWriter.
type call struct {
	caller.Request
	disconnect context.CancelFunc
	ended      chan caller.Result

	mu   sync.Mutex
	body string
}

func (c *call) Write(data []byte) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.body += string(data)
	return nil
}
func (c *call) Buffered() bool      { return true }
func (c *call) Reset()              { c.body = "" }
func (c *call) End(r caller.Result) { c.ended <- r }

// result waits for the final response.
func (c *call) result() caller.Result {
	var r caller.Result
	EventuallyWithOffset(1, c.ended).WithTimeout(testTimeout).Should(Receive(&r))
	return r
}

// harness is a dispatcher with a fleet of fake agents and a stand-in of the
// table service.
type harness struct {
	list       *instances.List
	table      *table.Service
	fleet      *fleet.Fleet
	dispatcher *dispatch.Dispatcher
	calls      atomic.Int32
}

func newHarness() *harness {
	h := &harness{list: instances.New(instances.Config{}), table: table.New()}
	h.fleet = fleet.New(agenttest.FleetConfig(location, h.list))
	h.dispatcher = dispatch.New(dispatch.Config{
		Clock: clock.System{}, Log: eventlog.Discard(), Fleet: h.fleet, Metrics: noMetrics{},
		Ledger:  claim.New(claim.Config{}, h.table, nil),
		Current: func() *config.Config { return &config.Config{} },
	})
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	wg.Go(func() { h.fleet.Run(ctx) })
	wg.Go(func() { h.dispatcher.Run(ctx) })
	DeferCleanup(func() {
		cancel()
		wg.Wait()
	})
	return h
}

func (h *harness) agent(name model.InstanceID) *agenttest.Agent {
	a, err := agenttest.Start(model.Identity{Instance: name, Generation: 1, Location: location}, pool)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(a.Stop)
	before := h.fleet.UsableAgents()
	h.list.Set(a.Instance())
	Eventually(h.fleet.UsableAgents).WithTimeout(testTimeout).Should(Equal(before + 1))
	return a
}

// send starts a request, which is non-repeatable if key is not empty.
func (h *harness) send(key, body string, change ...func(*call)) *call {
	ctx, cancel := context.WithCancel(context.Background())
	DeferCleanup(cancel)
	c := h.newCall(key, body, change...)
	c.disconnect = cancel
	go h.dispatcher.Handle(ctx, &c.Request, c)
	return c
}

// newCall returns a request that has not been started.
func (h *harness) newCall(key, body string, change ...func(*call)) *call {
	now := time.Now()
	c := &call{ended: make(chan caller.Result, 1), Request: caller.Request{
		ID:       model.RequestID("call-" + strconv.Itoa(int(h.calls.Add(1)))),
		Tenant:   config.Tenant{Name: "desk", Share: 1},
		Class:    config.Class{Name: "interactive"},
		Service:  config.Service{Name: "order", Kind: config.KindPlain, Pool: pool, Repeatable: key == ""},
		Received: now, Deadline: now.Add(testTimeout),
		IdempotencyKey: key, Body: []byte(body),
	}}
	for _, f := range change {
		f(c)
	}
	return c
}

func within(d time.Duration) func(*call) {
	return func(c *call) { c.Deadline = c.Received.Add(d) }
}

// started waits until an attempt arrives at an agent.
func started(a *agenttest.Agent) agenttest.Received {
	var r agenttest.Received
	EventuallyWithOffset(1, a.RequestStarts).WithTimeout(testTimeout).Should(Receive(&r))
	return r
}

// reattached waits until an entry requests the rest of an attempt.
func reattached(a *agenttest.Agent, run agenttest.Received) agenttest.Received {
	var r agenttest.Received
	EventuallyWithOffset(1, a.OtherMessages).WithTimeout(testTimeout).Should(Receive(&r, HaveField("Message", &wire.Reattach{Attempt: run.Attempt()})))
	return r
}

func respond(r agenttest.Received, body string) {
	r.SendFrame(0, body)
	r.SendEnd(1, body)
}

func refuse(r agenttest.Received, reason outcome.Reason) {
	_ = r.Conn.Send(&wire.RequestRefused{Attempt: r.Attempt(), Reason: reason})
}

func expectResult(c *call, o outcome.Outcome, reason outcome.Reason) {
	r := c.result()
	ExpectWithOffset(1, []any{r.Outcome, r.Reason}).To(Equal([]any{o, reason}))
}

func expectBody(c *call, body string) {
	expectResult(c, outcome.Completed, outcome.ReasonNone)
	ExpectWithOffset(1, c.body).To(Equal(body))
}

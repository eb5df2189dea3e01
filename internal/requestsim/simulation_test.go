package requestsim

import (
	"context"
	"fmt"
	"time"

	"pgregory.net/rapid"

	"github.com/auburnbend/auburnbend/internal/tabletest"
	"github.com/auburnbend/auburnbend/lib/model"
	"github.com/auburnbend/auburnbend/lib/outcome"
	"github.com/auburnbend/auburnbend/lib/wire"
)

const (
	entryCount     = 3
	agentCount     = 3
	maxSubmissions = 24
)

// requestKind holds the properties of a service's requests.
type requestKind struct {
	name       string
	keyed      bool
	repeatable bool
	continues  bool
	// deterministic reports whether all runs on the same weights give the same
	// response.
	deterministic bool
}

var requestKinds = []requestKind{
	{name: "order", keyed: true},
	{name: "call"},
	{name: "chat", repeatable: true},
	{name: "draft", repeatable: true, continues: true, deterministic: true},
	// Declared to continue streams although its responses differ between runs.
	{name: "sketch", repeatable: true, continues: true},
}

// submission is a request as sent once by a caller. A request with a key may be
// submitted several times.
type submission struct {
	kind            requestKind
	key             string
	body            string
	proofs          []model.AttemptID // presented with this submission
	answered        bool
	connectionError bool // the entry crashed before it answered
	outcome         outcome.Outcome
	reason          outcome.Reason
	received        []byte
	nextProofs      []model.AttemptID // to present with the next submission of the key
	attempts        map[model.AttemptID]bool
}

// run is one run of a request on a backend server.
type run struct {
	submission *submission
	attempt    model.AttemptID
	response   []byte // the whole response
	emitted    int    // bytes emitted so far
}

// simulation holds all processes. Nothing in it runs by itself: rapid draws the next
// action.
type simulation struct {
	t             *rapid.T
	ctx           context.Context
	now           time.Time
	table         *tabletest.Table
	fault         func(write bool) tabletest.Fault
	entries       []*entry
	agents        []*agent
	conns         []*conn
	submissions   []*submission
	runs          []*run
	submissionOf  map[model.AttemptID]*submission
	weights       []model.Weights
	serial        int
	delayedStarts []delayedStart
	// continuedStreams counts dispatches that continue a stream.
	continuedStreams int
}

// delayedStart is a second copy of a RequestStart, to be delivered later.
type delayedStart struct {
	conn       *conn
	generation model.Generation
	start      *wire.RequestStart
}

func newSimulation(t *rapid.T) *simulation {
	sim := &simulation{
		t: t, ctx: context.Background(), now: time.Unix(1_800_000_000, 0), table: tabletest.New(),
		submissionOf: make(map[model.AttemptID]*submission),
		weights:      []model.Weights{{Base: model.Sum([]byte("v1"))}, {Base: model.Sum([]byte("v2"))}},
	}
	sim.table.Fault = func(write bool) tabletest.Fault {
		if sim.fault == nil {
			return tabletest.NoFault
		}
		return sim.fault(write)
	}
	for i := range entryCount {
		sim.entries = append(sim.entries, newEntry(sim, i))
	}
	for i := range agentCount {
		sim.agents = append(sim.agents, newAgent(sim, i, sim.weights[0]))
	}
	return sim
}

func (sim *simulation) draw(label string, n int) int {
	return rapid.IntRange(0, n-1).Draw(sim.t, label)
}

func (sim *simulation) chance(label string, oneIn int) bool { return sim.draw(label, oneIn) == 0 }

func (sim *simulation) nextSerial() int {
	sim.serial++
	return sim.serial
}

func (sim *simulation) newAttempt(sub *submission) model.AttemptID {
	id := model.AttemptID(fmt.Sprintf("a%d", sim.nextSerial()))
	sub.attempts[id] = true
	sim.submissionOf[id] = sub
	return id
}

// response returns the response of a run with the given number on some weights.
// Responses of different runs differ, unless the kind is deterministic.
func (sim *simulation) response(sub *submission, weights model.Weights, number int) []byte {
	if sub.kind.deterministic {
		number = 0
	}
	return fmt.Appendf(nil, "%d<%s on %s>", number, sub.body, weights)
}

// conn is a connection between an entry and an agent.
type conn struct {
	entry      *entry
	agent      *agent
	toAgent    []wire.Message
	toEntry    []wire.Message
	blackholed bool // messages are lost without an error
	closed     bool // at the entry; the agent still reads what was sent before
}

func (c *conn) sendToAgent(m wire.Message) {
	if !c.closed && !c.blackholed {
		c.toAgent = append(c.toAgent, m)
	}
}

func (c *conn) sendToEntry(m wire.Message) {
	if !c.closed && !c.blackholed {
		c.toEntry = append(c.toEntry, m)
	}
}

// connection returns the open connection between an entry and an agent, or a new
// one.
func (sim *simulation) connection(e *entry, a *agent) *conn {
	for _, c := range sim.conns {
		if c.entry == e && c.agent == a && !c.closed {
			return c
		}
	}
	c := &conn{entry: e, agent: a}
	sim.conns = append(sim.conns, c)
	return c
}

// connsWithMessages returns the connections with undelivered messages in the given
// direction.
func (sim *simulation) connsWithMessages(toAgent bool) (out []*conn) {
	for _, c := range sim.conns {
		if toAgent && len(c.toAgent) > 0 || !toAgent && len(c.toEntry) > 0 && !c.closed {
			out = append(out, c)
		}
	}
	return out
}

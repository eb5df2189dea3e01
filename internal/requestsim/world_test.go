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
	entryCount = 3
	agentCount = 3
	maxAsks    = 24
)

// kind is what a caller's request demands.
type kind struct {
	name       string
	keyed      bool
	repeatable bool
	continues  bool
	// fixed says that all runs on the same weights answer the same.
	fixed bool
}

var kinds = []kind{
	{name: "order", keyed: true},
	{name: "call"},
	{name: "chat", repeatable: true},
	{name: "draft", repeatable: true, continues: true, fixed: true},
	// Declared to continue although its answers differ from run to run.
	{name: "sketch", repeatable: true, continues: true},
}

// ask is one sending of a request by a caller.
type ask struct {
	kind     kind
	key      string
	body     string
	proofs   []model.AttemptID // presented
	told     bool
	broken   bool // the entry died before it answered
	outcome  outcome.Outcome
	reason   outcome.Reason
	received []byte
	next     []model.AttemptID // proofs to present when sending again
	attempts map[model.AttemptID]bool
}

// run is one run of a request on a backend server.
type run struct {
	ask     *ask
	attempt model.AttemptID
	text    []byte // the whole answer
	emitted int
}

// world holds all processes. Nothing in it runs by itself: the fuzzer draws
// what happens next.
type world struct {
	t       *rapid.T
	ctx     context.Context
	now     time.Time
	table   *tabletest.Table
	fault   func(write bool) tabletest.Fault
	entries []*entry
	agents  []*agent
	links   []*link
	asks    []*ask
	runs    []*run
	owner   map[model.AttemptID]*ask
	weights []model.Weights
	serial  int
	copies  []lateCopy
	// continued counts dispatches that go on with a stream.
	continued int
}

// lateCopy is a RequestStart that will arrive again.
type lateCopy struct {
	link       *link
	generation model.Generation
	start      *wire.RequestStart
}

func newWorld(t *rapid.T) *world {
	w := &world{
		t: t, ctx: context.Background(), now: time.Unix(1_800_000_000, 0), table: tabletest.New(),
		owner:   make(map[model.AttemptID]*ask),
		weights: []model.Weights{{Base: model.Sum([]byte("v1"))}, {Base: model.Sum([]byte("v2"))}},
	}
	w.table.Fault = func(write bool) tabletest.Fault {
		if w.fault == nil {
			return tabletest.NoFault
		}
		return w.fault(write)
	}
	for i := range entryCount {
		w.entries = append(w.entries, newEntry(w, i))
	}
	for i := range agentCount {
		w.agents = append(w.agents, newAgent(w, i, w.weights[0]))
	}
	return w
}

func (w *world) pick(what string, n int) int { return rapid.IntRange(0, n-1).Draw(w.t, what) }

func (w *world) chance(what string, oneIn int) bool { return w.pick(what, oneIn) == 0 }

func (w *world) number() int {
	w.serial++
	return w.serial
}

func (w *world) newAttempt(a *ask) model.AttemptID {
	id := model.AttemptID(fmt.Sprintf("a%d", w.number()))
	a.attempts[id] = true
	w.owner[id] = a
	return id
}

// answerText is what a run of the request on some weights answers. Answers of
// different runs differ, but for services whose streams may continue elsewhere.
func (w *world) answerText(a *ask, weights model.Weights, number int) []byte {
	if a.kind.fixed {
		number = 0
	}
	return fmt.Appendf(nil, "%d<%s on %s>", number, a.body, weights)
}

// link is one connection between an entry and an agent.
type link struct {
	entry   *entry
	agent   *agent
	toAgent []wire.Message
	toEntry []wire.Message
	silent  bool
	closed  bool // at the entry; the agent still reads what was sent before
}

func (l *link) sendToAgent(m wire.Message) {
	if !l.closed && !l.silent {
		l.toAgent = append(l.toAgent, m)
	}
}

func (l *link) sendToEntry(m wire.Message) {
	if !l.closed && !l.silent {
		l.toEntry = append(l.toEntry, m)
	}
}

// connection returns the open connection of an entry to an agent, or a new one.
func (w *world) connection(e *entry, a *agent) *link {
	for _, l := range w.links {
		if l.entry == e && l.agent == a && !l.closed {
			return l
		}
	}
	l := &link{entry: e, agent: a}
	w.links = append(w.links, l)
	return l
}

// busy returns the connections with messages in one direction.
func (w *world) busy(toAgent bool) (out []*link) {
	for _, l := range w.links {
		if toAgent && len(l.toAgent) > 0 || !toAgent && len(l.toEntry) > 0 && !l.closed {
			out = append(out, l)
		}
	}
	return out
}

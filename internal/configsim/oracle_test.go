package configsim_test

import (
	"github.com/auburnbend/auburnbend/internal/configsim"
	"github.com/auburnbend/auburnbend/lib/config"
	"github.com/auburnbend/auburnbend/lib/model"
	"pgregory.net/rapid"
)

// report is the outcome reported to an operator for one request.
type report struct {
	expected uint64
	accepted bool
	refused  bool
}

// oracle reads the accepted revisions from the store's rows, bypassing injected
// faults. It compares them with the outcomes reported to operators and the
// configurations in force at the nodes.
type oracle struct {
	sim             *configsim.Sim
	accepted        []config.Change // index is the revision number minus 1
	revisionDigests []model.Digest
	configDigests   []model.Digest
	reports         map[string]report // by operation
	// minNumber is the lowest revision number that a node may have in force.
	minNumber map[*configsim.Node]uint64
	lastView  map[*configsim.Node]*config.View
}

func newOracle(s *configsim.Sim) *oracle {
	return &oracle{sim: s, reports: make(map[string]report), minNumber: make(map[*configsim.Node]uint64), lastView: make(map[*configsim.Node]*config.View)}
}

// observe reads new revisions from the store and checks the store and every
// replica.
func (o *oracle) observe(t *rapid.T) {
	for i := uint64(1); ; i++ {
		row, ok := o.sim.Table.Peek(config.Table, config.RevisionKey(i))
		if !ok {
			if int(i) <= len(o.accepted) {
				t.Fatalf("accepted revision %d is lost", i)
			}
			break
		}
		r, err := config.DecodeRevision(row.Value)
		if err != nil {
			t.Fatal(err)
		}
		if int(i) <= len(o.revisionDigests) {
			if r.Digest != o.revisionDigests[i-1] {
				t.Fatalf("accepted revision %d was replaced", i)
			}
			continue
		}
		change, err := r.DecodeChange()
		if err != nil {
			t.Fatal(err)
		}
		o.accepted = append(o.accepted, change)
		o.revisionDigests = append(o.revisionDigests, r.Digest)
		o.configDigests = append(o.configDigests, change.Delta.StateDigest)
	}
	for _, n := range o.sim.Nodes {
		o.observeNode(t, n)
	}
}

func (o *oracle) observeNode(t *rapid.T, n *configsim.Node) {
	view := n.Replica.Current()
	if !n.Running || view == nil {
		return
	}
	number := view.Head.Number
	if number < o.minNumber[n] {
		t.Fatalf("revision in force went from %d back to %d", o.minNumber[n], number)
	}
	o.minNumber[n] = number
	if view == o.lastView[n] {
		return
	}
	o.lastView[n] = view
	if number > uint64(len(o.revisionDigests)) || view.Head.Digest != o.revisionDigests[number-1] {
		t.Fatalf("revision %d in force was never accepted", number)
	}
	if !view.Accepted.Equal(o.accepted[number-1].Time()) {
		t.Fatalf("revision %d in force does not carry the accepted time", number)
	}
	if state, _ := view.Config.Digest(); state != o.configDigests[number-1] {
		t.Fatalf("configuration in force differs from that of accepted revision %d", number)
	}
}

// nodeRestarted sets minNumber of a restarted node to what its new process
// can fetch: the highest revision held by a reachable peer.
func (o *oracle) nodeRestarted(n *configsim.Node) { o.minNumber[n] = o.reachableHead(n) }

// relaxStartingNodes lowers minNumber of nodes that have no configuration yet, in case
// the peer that held the newest revision restarted or became unreachable before
// they could fetch from it.
func (o *oracle) relaxStartingNodes() {
	for _, n := range o.sim.Nodes {
		if n.Running && n.Replica.Current() == nil {
			o.minNumber[n] = min(o.minNumber[n], o.reachableHead(n))
		}
	}
}

func (o *oracle) reachableHead(n *configsim.Node) uint64 {
	var highest uint64
	for _, other := range n.Connections() {
		if o.sim.Reachable(n, other) {
			highest = max(highest, other.Replica.Head().Number)
		}
	}
	return highest
}

// recordReport records the outcome reported for an operation and checks it against
// the accepted revisions.
func (o *oracle) recordReport(t *rapid.T, operation string, r report) {
	o.observe(t)
	if old, ok := o.reports[operation]; ok {
		r.accepted = r.accepted || old.accepted
		r.refused = r.refused || old.refused
	}
	o.reports[operation] = r
	o.checkReports(t)
}

// checkReports checks that no outcome reported so far has turned out wrong, and
// that at most one request became the revision after the one it expected.
func (o *oracle) checkReports(t *rapid.T) {
	applied := make(map[string]uint64)
	for i, change := range o.accepted {
		if at, ok := applied[change.Operation]; ok {
			t.Fatalf("operation %s became revisions %d and %d", change.Operation, at, i+1)
		}
		applied[change.Operation] = uint64(i + 1)
	}
	winners := make(map[uint64]string)
	for operation, r := range o.reports {
		at, ok := applied[operation]
		if r.accepted && (!ok || at != r.expected+1) {
			t.Fatalf("operation %s was reported as accepted but is not revision %d", operation, r.expected+1)
		}
		if r.refused && ok {
			t.Fatalf("operation %s was reported as refused but became revision %d", operation, at)
		}
		if r.accepted {
			if other, ok := winners[r.expected]; ok {
				t.Fatalf("operations %s and %s were both reported as accepted as revision %d", operation, other, r.expected+1)
			}
			winners[r.expected] = operation
		}
	}
}

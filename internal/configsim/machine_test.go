package configsim_test

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/auburnbend/auburnbend/internal/configsim"
	"github.com/auburnbend/auburnbend/lib/backing"
	"github.com/auburnbend/auburnbend/lib/config"
	"github.com/auburnbend/auburnbend/standin/fault"
)

// delayedTable holds back some commits for later delivery, and can run another
// operation between an operator's read and its commit.
type delayedTable struct {
	backing.TableService
	commitsToDelay int
	delayed        []backing.Transaction
	beforeCommit   func()
}

// Commit implements backing.TableService.
func (d *delayedTable) Commit(ctx context.Context, tx backing.Transaction) error {
	if hook := d.beforeCommit; hook != nil {
		d.beforeCommit = nil
		hook()
	}
	if d.commitsToDelay > 0 {
		d.commitsToDelay--
		d.delayed = append(d.delayed, tx)
		return backing.ErrUnknown
	}
	return d.TableService.Commit(ctx, tx)
}

// machine is a small deployment with several operators, on which rapid performs
// random actions.
type machine struct {
	sim      *configsim.Sim
	oracle   *oracle
	table    *delayedTable
	stores   []*config.Store
	unknown  []config.Request
	requests int
	recorded [][][]byte
}

func newMachine(t *rapid.T) *machine {
	s := configsim.New(configsim.Config{
		Domains: 3, EntriesPerDomain: 2, AgentsPerDomain: 1, RemotePeers: 2, Heartbeat: time.Second,
		Seed: rapid.Int64Range(0, 1<<30).Draw(t, "seed"),
	})
	m := &machine{sim: s, oracle: newOracle(s), table: &delayedTable{TableService: s.Table}}
	for range 3 {
		m.stores = append(m.stores, config.NewStore(m.table, config.StoreConfig{
			Clock: s.Clock(), MaxRetries: 2,
			Sleep: func(context.Context, time.Duration) error { return nil },
		}))
	}
	s.StartAll()
	return m
}

func (m *machine) request(t *rapid.T) config.Request {
	m.requests++
	expected := uint64(len(m.oracle.accepted))
	if expected > 0 && rapid.IntRange(0, 3).Draw(t, "outdated") == 0 {
		expected--
	}
	c := configsim.TypicalConfig(1, 2)
	c.Tenants[0].MaxQueued = 100 + m.requests
	return config.Request{Config: c, Expected: expected, Operation: fmt.Sprintf("op-%d", m.requests), Author: "ops"}
}

func (m *machine) submit(t *rapid.T, store *config.Store, req config.Request) {
	result, err := store.Apply(context.Background(), req)
	r := report{expected: req.Expected}
	var conflict *config.RevisionConflictError
	var unknown *config.UnknownOutcomeError
	switch {
	case err == nil:
		r.accepted = !result.Unchanged
	case errors.As(err, &conflict), errors.Is(err, config.ErrOperationReused):
		r.refused = true
	case errors.As(err, &unknown):
		m.unknown = append(m.unknown, req)
	default:
		t.Fatal(err)
	}
	m.oracle.recordReport(t, req.Operation, r)
}

func (m *machine) store(t *rapid.T) *config.Store {
	return rapid.SampledFrom(m.stores).Draw(t, "store")
}

func (m *machine) node(t *rapid.T) *configsim.Node {
	return rapid.SampledFrom(m.sim.Nodes).Draw(t, "node")
}

func (m *machine) restart(n *configsim.Node) {
	m.sim.Restart(n)
	m.oracle.nodeRestarted(n)
	m.oracle.relaxStartingNodes()
}

// resolveUnknown settles every operation with an unknown outcome. From then on the
// reported outcome must stay correct.
func (m *machine) resolveUnknown(t *rapid.T) {
	for _, req := range m.unknown {
		op, err := m.stores[0].Operation(context.Background(), req.Operation, true)
		if err != nil {
			t.Fatal(err)
		}
		m.oracle.recordReport(t, req.Operation, report{
			expected: req.Expected,
			accepted: op.State == config.OperationApplied,
			refused:  op.State == config.OperationAbandoned,
		})
	}
	m.unknown = nil
}

func (m *machine) deliverDelayed() {
	for _, tx := range m.table.delayed {
		_ = m.sim.Table.Commit(context.Background(), tx)
	}
	m.table.delayed = nil
}

func (m *machine) heal() {
	for d := range m.sim.PeersUnreachable {
		m.sim.StoreUnreachable[d], m.sim.PeersUnreachable[d] = false, false
	}
}

// flipBit flips one bit of one recorded revision.
func flipBit(t *rapid.T, encoded [][]byte) [][]byte {
	corrupted := slices.Clone(encoded)
	i := rapid.IntRange(0, len(corrupted)-1).Draw(t, "revision")
	corrupted[i] = slices.Clone(corrupted[i])
	at := rapid.IntRange(0, len(corrupted[i])-1).Draw(t, "byte")
	corrupted[i][at] ^= 1 << rapid.IntRange(0, 7).Draw(t, "bit")
	return corrupted
}

func (m *machine) actions() map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){
		"apply": func(t *rapid.T) { m.submit(t, m.store(t), m.request(t)) },
		"race": func(t *rapid.T) {
			first, second := m.request(t), m.request(t)
			m.table.beforeCommit = func() { m.submit(t, m.stores[1], second) }
			m.submit(t, m.stores[0], first)
			m.table.beforeCommit = nil
		},
		"repeat": func(t *rapid.T) {
			if len(m.unknown) > 0 {
				m.submit(t, m.store(t), rapid.SampledFrom(m.unknown).Draw(t, "request"))
			}
		},
		"faults": func(t *rapid.T) {
			m.table.commitsToDelay = rapid.IntRange(0, 2).Draw(t, "delay")
			m.sim.Table.Faults.Set(fault.Faults{
				Down:       rapid.IntRange(0, 3).Draw(t, "down") == 0,
				LoseAfter:  rapid.IntRange(0, 4).Draw(t, "lose after"),
				LoseBefore: rapid.IntRange(0, 2).Draw(t, "lose before"),
				StaleBy:    rapid.IntRange(0, 3).Draw(t, "stale by"),
			})
		},
		"deliver": func(*rapid.T) { m.deliverDelayed() },
		"cut": func(t *rapid.T) {
			d := rapid.IntRange(0, 2).Draw(t, "domain")
			m.sim.StoreUnreachable[d] = rapid.IntRange(0, 2).Draw(t, "from store") > 0
			m.sim.PeersUnreachable[d] = rapid.IntRange(0, 2).Draw(t, "from peers") > 0
			m.oracle.relaxStartingNodes()
		},
		"restart": func(t *rapid.T) {
			if rapid.Bool().Draw(t, "heal first") {
				m.heal()
			}
			m.restart(m.node(t))
		},
		"record": func(t *rapid.T) {
			after := uint64(rapid.IntRange(0, len(m.oracle.accepted)).Draw(t, "after"))
			if encoded, err := m.node(t).Replica.RevisionsAfter(after); err == nil && len(encoded) > 0 {
				m.recorded = append(m.recorded, encoded)
			}
		},
		"lagging peer": func(t *rapid.T) {
			if len(m.recorded) > 0 {
				m.node(t).ApplyRevisions(rapid.SampledFrom(m.recorded).Draw(t, "recorded"))
			}
		},
		"damaged copy": func(t *rapid.T) {
			if len(m.recorded) > 0 {
				m.node(t).ApplyRevisions(flipBit(t, rapid.SampledFrom(m.recorded).Draw(t, "recorded")))
			}
		},
		"altered merge": func(t *rapid.T) {
			n := m.node(t)
			after := uint64(rapid.IntRange(1, len(m.oracle.accepted)+1).Draw(t, "after"))
			encoded, err := n.Replica.RevisionsAfter(after)
			if err != nil || len(encoded) == 0 {
				return
			}
			if altered := alterMerged(t, encoded); altered != nil {
				for _, other := range m.sim.Nodes {
					other.ApplyRevisions(altered)
				}
			}
		},
		"foreign merge": func(t *rapid.T) {
			n := m.node(t)
			if view := n.Replica.Current(); n.Running && view != nil {
				n.ApplyRevisions(foreignMerged(t, view))
			}
		},
		"run": func(t *rapid.T) { m.sim.Run(time.Duration(rapid.IntRange(1, 5000).Draw(t, "ms")) * time.Millisecond) },
		"":    func(t *rapid.T) { m.oracle.observe(t) },
	}
}

// Guards against lost or reverted revisions, wrong outcomes reported to operators
// and two accepted changes for one revision number, under store outages, lost and
// delayed writes, stale reads, restarts and partitions. At the end all faults are
// removed: every unknown outcome must be resolved, and all replicas must hold the
// newest revision within 9 s.
func TestConfigurationNeverReverts(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		m := newMachine(t)
		t.Repeat(m.actions())
		m.sim.Table.Faults.Set(fault.Faults{})
		m.table.commitsToDelay = 0
		m.heal()
		m.resolveUnknown(t)
		m.deliverDelayed()
		m.oracle.observe(t)
		m.oracle.checkReports(t)
		m.sim.Run(propagationBound)
		m.oracle.observe(t)
		for _, n := range m.sim.Nodes {
			view := n.Replica.Current()
			if want := len(m.oracle.accepted); want > 0 && (view == nil || view.Head.Number != uint64(want)) {
				t.Fatalf("replica holds %v after all faults were removed, want revision %d", view, want)
			}
		}
	})
}

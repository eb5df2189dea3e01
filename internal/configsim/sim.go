package configsim

import (
	"math/rand"
	"time"

	"github.com/auburnbend/auburnbend/lib/clock"
	"github.com/auburnbend/auburnbend/lib/config"
	"github.com/auburnbend/auburnbend/lib/model"
	"github.com/auburnbend/auburnbend/lib/wire"
	"github.com/auburnbend/auburnbend/standin/table"
)

// Sim is one simulated deployment. It is not safe for concurrent use.
type Sim struct {
	scheduler
	cfg   Config
	rng   *rand.Rand
	byID  map[model.InstanceID]*Node
	reads map[int64]int

	Table *table.Service
	Nodes []*Node
	// StoreState is the condition of the store for polls.
	StoreState StoreState
	// StoreUnreachable and CutFromPeers cut failure domains off, by number.
	StoreUnreachable []bool
	PeersUnreachable []bool
	// DamagedRevisions counts revisions that a replica refused as damaged.
	DamagedRevisions int
}

// simStart is the start of simulated time.
var simStart = time.Unix(1_800_000_000, 0)

// New returns a deployment whose nodes all start at once.
func New(cfg Config) *Sim {
	cfg.applyDefaults()
	s := &Sim{
		scheduler:        newScheduler(simStart),
		cfg:              cfg,
		rng:              rand.New(rand.NewSource(cfg.Seed)),
		byID:             make(map[model.InstanceID]*Node),
		reads:            make(map[int64]int),
		Table:            table.New(),
		StoreUnreachable: make([]bool, cfg.Domains),
		PeersUnreachable: make([]bool, cfg.Domains),
	}
	s.build()
	return s
}

// StartAll starts all nodes.
func (s *Sim) StartAll() {
	for _, n := range s.Nodes {
		n.prepare()
	}
	for _, n := range s.Nodes {
		n.start()
	}
}

// prepare gives a node empty state, so that others can talk to it before it
// starts.
func (n *Node) prepare() {
	n.Replica = config.NewReplica(config.ReplicaConfig{}, n.sim.Now())
	n.peers = config.NewPeers(config.PeersConfig{}, n.rng)
}

func (s *Sim) build() {
	entries := make([][]*Node, s.cfg.Domains)
	for d := range s.cfg.Domains {
		for range s.cfg.EntriesPerDomain {
			entries[d] = append(entries[d], s.add(d, false))
		}
	}
	for d, inside := range entries {
		for i, n := range inside {
			for k := 1; k <= s.cfg.LocalPeers && k < len(inside); k++ {
				// Distances of 1, 5, 25 and so on keep the number of processes
				// between any two entries small.
				n.connect(inside[(i+pow(5, k-1))%len(inside)])
			}
			for k := 1; k <= s.cfg.RemotePeers && s.cfg.Domains > 1; k++ {
				outside := entries[(d+1+s.rng.Intn(s.cfg.Domains-1))%s.cfg.Domains]
				n.connect(outside[s.rng.Intn(len(outside))])
			}
		}
		for i := range s.cfg.AgentsPerDomain {
			a := s.add(d, true)
			for k := range min(s.cfg.EntriesPerAgent, len(inside)) {
				a.connect(inside[(i+k)%len(inside)])
			}
		}
	}
}

func (s *Sim) add(domain int, agent bool) *Node {
	n := &Node{
		sim:    s,
		id:     config.PeerID{Instance: instanceName(len(s.Nodes))},
		domain: domain,
		agent:  agent,
		rng:    rand.New(rand.NewSource(s.rng.Int63())),
	}
	s.Nodes = append(s.Nodes, n)
	s.byID[n.id.Instance] = n
	return n
}

func (n *Node) connect(to *Node) {
	if n == to {
		return
	}
	for _, known := range n.conns {
		if known == to {
			return
		}
	}
	n.conns = append(n.conns, to)
	to.conns = append(to.conns, n)
}

// Now returns the simulated time.
func (s *Sim) Now() time.Time { return s.now }

// Clock returns the clock of the simulation.
func (s *Sim) Clock() clock.Clock { return s.clock }

// Run advances simulated time.
func (s *Sim) Run(d time.Duration) { s.runUntil(s.Now().Add(d)) }

// Restart replaces a node by a new process without state.
func (s *Sim) Restart(n *Node) {
	n.stop()
	n.start()
}

// Stop ends a node's process until Restart.
func (s *Sim) Stop(n *Node) { n.stop() }

// Reachable reports whether two nodes can exchange messages.
func (s *Sim) Reachable(a, b *Node) bool {
	if !a.Running || !b.Running {
		return false
	}
	return a.domain == b.domain || !s.PeersUnreachable[a.domain] && !s.PeersUnreachable[b.domain]
}

// ReadsBySecond returns the reads per second of simulated time since the start.
func (s *Sim) ReadsBySecond() map[int64]int { return s.reads }

// ElapsedSeconds returns the number of the current second since the start.
func (s *Sim) ElapsedSeconds() int64 { return int64(s.Now().Sub(simStart) / time.Second) }

// PeakReads returns the highest number of reads in any second from one on.
func (s *Sim) PeakReads(from int64) int {
	peak := 0
	for second, n := range s.reads {
		if second >= from {
			peak = max(peak, n)
		}
	}
	return peak
}

func (s *Sim) countRead() { s.reads[s.ElapsedSeconds()]++ }

func (s *Sim) fleet() config.FleetSize {
	return config.FleetSize{Entries: s.cfg.Domains * s.cfg.EntriesPerDomain, DomainEntries: s.cfg.EntriesPerDomain}
}

// send delivers a message after the latency of the path, or drops it when the
// receiver cannot be reached at either end of the way.
func (s *Sim) send(from, to *Node, deliver func()) {
	if !s.Reachable(from, to) {
		return
	}
	latency := time.Millisecond
	if from.domain != to.domain {
		latency = 2 * time.Millisecond
	}
	s.after(latency, func() {
		if s.Reachable(from, to) {
			deliver()
		}
	})
}

// heartbeatBytes returns the size of an announcement. Only agents list the
// weights that they serve.
func (s *Sim) heartbeatBytes(agent bool) int64 {
	beat := &wire.Heartbeat{Sequence: 1 << 20, ConfigRevision: 1 << 20, ConfigAgeMillis: 1 << 10}
	if agent {
		beat.LiveWeights = make([]model.Weights, 1)
	}
	return frameBytes(beat)
}

func pow(base, exponent int) int {
	result := 1
	for range exponent {
		result *= base
	}
	return result
}

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

// Sim is a simulated deployment. It is not safe for concurrent use.
type Sim struct {
	scheduler
	cfg   Config
	rng   *rand.Rand
	byID  map[model.InstanceID]*Node
	reads map[int64]int

	Table *table.Service
	Nodes []*Node
	// StoreState is the condition of the store as seen by polling entries.
	StoreState StoreState
	// StoreUnreachable and PeersUnreachable partition a failure domain, given by
	// its number, from the store and from the nodes of other domains.
	StoreUnreachable []bool
	PeersUnreachable []bool
	// DamagedRevisions counts the times that a replica refused damaged revisions.
	DamagedRevisions int
}

// simStart is the simulated time at which a simulation starts.
var simStart = time.Unix(1_800_000_000, 0)

// New returns a deployment whose nodes are connected but not started.
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
	s.createNodes()
	return s
}

// StartAll starts all nodes at the same simulated time.
func (s *Sim) StartAll() {
	for _, n := range s.Nodes {
		n.initState()
	}
	for _, n := range s.Nodes {
		n.start()
	}
}

// initState gives a node empty state, so that other nodes can send to it before
// it starts.
func (n *Node) initState() {
	n.Replica = config.NewReplica(config.ReplicaConfig{}, n.sim.Now())
	n.peers = config.NewPeers(config.PeersConfig{}, n.rng)
}

func (s *Sim) createNodes() {
	entries := make([][]*Node, s.cfg.Domains)
	for d := range s.cfg.Domains {
		for range s.cfg.EntriesPerDomain {
			entries[d] = append(entries[d], s.addNode(d, false))
		}
	}
	for d, local := range entries {
		for i, n := range local {
			for k := 1; k <= s.cfg.LocalPeers && k < len(local); k++ {
				// Distances of 1, 5, 25 and so on keep the number of hops between
				// any two entries small.
				n.connect(local[(i+pow(5, k-1))%len(local)])
			}
			for k := 1; k <= s.cfg.RemotePeers && s.cfg.Domains > 1; k++ {
				remote := entries[(d+1+s.rng.Intn(s.cfg.Domains-1))%s.cfg.Domains]
				n.connect(remote[s.rng.Intn(len(remote))])
			}
		}
		for i := range s.cfg.AgentsPerDomain {
			a := s.addNode(d, true)
			for k := range min(s.cfg.EntriesPerAgent, len(local)) {
				a.connect(local[(i+k)%len(local)])
			}
		}
	}
}

func (s *Sim) addNode(domain int, agent bool) *Node {
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

// Now returns the current simulated time.
func (s *Sim) Now() time.Time { return s.now }

// Clock returns the clock of the simulation.
func (s *Sim) Clock() clock.Clock { return s.clock }

// Run advances simulated time by d and runs the events that are due.
func (s *Sim) Run(d time.Duration) { s.runUntil(s.Now().Add(d)) }

// Restart replaces a node's process by a new one with empty state.
func (s *Sim) Restart(n *Node) {
	n.stop()
	n.start()
}

// Stop ends a node's process; Restart starts a new one.
func (s *Sim) Stop(n *Node) { n.stop() }

// Reachable reports whether two nodes are running and not partitioned from each
// other.
func (s *Sim) Reachable(a, b *Node) bool {
	if !a.Running || !b.Running {
		return false
	}
	return a.domain == b.domain || !s.PeersUnreachable[a.domain] && !s.PeersUnreachable[b.domain]
}

// ReadsBySecond returns the number of reads that reached the store in each second
// since the start. Seconds without reads are missing.
func (s *Sim) ReadsBySecond() map[int64]int { return s.reads }

// ElapsedSeconds returns the whole seconds of simulated time since the start.
func (s *Sim) ElapsedSeconds() int64 { return int64(s.Now().Sub(simStart) / time.Second) }

// PeakReads returns the highest number of reads in any second since the start,
// from the given one on.
func (s *Sim) PeakReads(from int64) int {
	peak := 0
	for second, n := range s.reads {
		if second >= from {
			peak = max(peak, n)
		}
	}
	return peak
}

func (s *Sim) recordRead() { s.reads[s.ElapsedSeconds()]++ }

func (s *Sim) fleetSize() config.FleetSize {
	return config.FleetSize{Entries: s.cfg.Domains * s.cfg.EntriesPerDomain, DomainEntries: s.cfg.EntriesPerDomain}
}

// send delivers a message after the latency of the path. The message is lost if the
// receiver is unreachable when it is sent or when it would arrive.
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

// heartbeatBytes returns the frame size of a heartbeat that announces a revision.
// Only agents list the weights that they serve.
func (s *Sim) heartbeatBytes(agent bool) int64 {
	heartbeat := &wire.Heartbeat{Sequence: 1 << 20, ConfigRevision: 1 << 20, ConfigAgeMillis: 1 << 10}
	if agent {
		heartbeat.LiveWeights = make([]model.Weights, 1)
	}
	return frameBytes(heartbeat)
}

func pow(base, exponent int) int {
	result := 1
	for range exponent {
		result *= base
	}
	return result
}

package configsim

import (
	"context"
	"math/rand"
	"strconv"
	"time"

	"github.com/auburnbend/auburnbend/lib/config"
	"github.com/auburnbend/auburnbend/lib/model"
	"github.com/auburnbend/auburnbend/lib/wire"
)

// tickInterval is the interval at which a node checks for fetches that have timed
// out and announcements that are due.
const tickInterval = 500 * time.Millisecond

// Node is one simulated entry or agent.
type Node struct {
	sim    *Sim
	id     config.PeerID
	domain int
	agent  bool
	conns  []*Node
	rng    *rand.Rand

	// Running is false while the process is stopped.
	Running      bool
	Replica      *config.Replica
	peers        *config.Peers
	store        *config.Store
	storeClient  *storeClient
	pollSchedule pollSchedule
	// inForceSince holds the time at which each revision came into force, by
	// number.
	inForceSince map[uint64]time.Time

	// SentBytes and ReceivedBytes count the frames that propagate the
	// configuration. Periodic heartbeats are not included.
	SentBytes     int64
	ReceivedBytes int64
}

// IsAgent reports whether the node is an agent.
func (n *Node) IsAgent() bool { return n.agent }

// Domain returns the number of the node's failure domain.
func (n *Node) Domain() int { return n.domain }

// Connections returns the nodes that this one is connected to.
func (n *Node) Connections() []*Node { return n.conns }

// start starts a new process with a new generation number and empty state.
func (n *Node) start() {
	now := n.sim.Now()
	n.id.Generation++
	n.Running = true
	n.Replica = config.NewReplica(config.ReplicaConfig{}, now)
	n.peers = config.NewPeers(config.PeersConfig{}, n.rng)
	n.inForceSince = make(map[uint64]time.Time)
	generation := n.id.Generation
	if !n.agent {
		n.storeClient = &storeClient{TableService: n.sim.Table, sim: n.sim, node: n}
		n.store = config.NewStore(n.storeClient, config.StoreConfig{Clock: n.sim.clock})
		n.pollSchedule = n.newPollSchedule(now)
		n.schedulePoll(generation)
	}
	for _, other := range n.conns {
		if !other.Running {
			continue
		}
		n.addPeer(other)
		other.addPeer(n)
		n.heartbeat(other)
		other.heartbeat(n)
	}
	n.schedulePeriodic(generation, time.Duration(n.rng.Int63n(int64(tickInterval))), tickInterval, n.step)
	n.schedulePeriodic(generation, time.Duration(n.rng.Int63n(int64(n.sim.cfg.Heartbeat))), n.sim.cfg.Heartbeat, func() {
		for _, other := range n.conns {
			n.heartbeat(other)
		}
	})
}

func (n *Node) newPollSchedule(now time.Time) pollSchedule {
	if n.sim.cfg.FixedIntervals {
		return &fixedSchedule{next: now.Add(time.Duration(n.rng.Int63n(int64(fixedInterval))))}
	}
	return config.NewPoller(config.PollerConfig{}, n.sim.fleetSize(), n.rng, now)
}

func (n *Node) addPeer(other *Node) { n.peers.Add(other.id, other.agent || n.agent) }

// stop ends the process; its peers notice at once.
func (n *Node) stop() {
	n.Running = false
	for _, other := range n.conns {
		if other.Running {
			other.peers.Remove(n.id)
		}
	}
}

// schedulePeriodic runs f at an interval until the process of the given
// generation ends.
func (n *Node) schedulePeriodic(generation model.Generation, first, interval time.Duration, f func()) {
	n.sim.after(first, func() {
		if !n.Running || n.id.Generation != generation {
			return
		}
		f()
		n.schedulePeriodic(generation, interval, interval, f)
	})
}

func (n *Node) schedulePoll(generation model.Generation) {
	n.sim.after(n.pollSchedule.Next().Sub(n.sim.Now()), func() {
		if !n.Running || n.id.Generation != generation {
			return
		}
		n.storeClient.elapsed = 0
		poll, err := n.store.Poll(context.Background(), n.Replica.Head())
		n.sim.after(n.storeClient.elapsed, func() {
			if !n.Running || n.id.Generation != generation {
				return
			}
			now := n.sim.Now()
			if err == nil {
				n.applyAndAnnounce(poll.Revisions)
				if !poll.More {
					_, _ = n.Replica.ObserveHead(poll.Head, 0, now)
				}
			}
			n.pollSchedule.PollDone(err, poll.More, n.sim.fleetSize(), now)
			n.schedulePoll(generation)
		})
	})
}

// applyAndAnnounce applies revisions, records when they came into force and
// announces them to peers.
func (n *Node) applyAndAnnounce(encoded [][]byte) {
	now := n.sim.Now()
	_, err := n.Replica.Apply(encoded, now)
	if err != nil && config.IsDamaged(err) {
		n.sim.DamagedRevisions++
	}
	n.step()
}

// ApplyRevisions applies encoded revisions as if a peer had sent them. It does
// nothing while the node is stopped.
func (n *Node) ApplyRevisions(encoded [][]byte) {
	if n.Running {
		n.applyAndAnnounce(encoded)
	}
}

// step records revisions that have come into force, sends the announcements that
// are due and starts a fetch if a peer has a newer revision.
func (n *Node) step() {
	now := n.sim.Now()
	n.Replica.Tick(now)
	if view := n.Replica.Current(); view != nil {
		for number := view.Head.Number; number > 0 && n.inForceSince[number].IsZero(); number-- {
			n.inForceSince[number] = now
		}
	}
	head := n.Replica.Head()
	for _, id := range n.peers.AnnounceTargets(head, now) {
		other := n.sim.byID[id.Instance]
		n.heartbeat(other)
		size := n.sim.heartbeatBytes(n.agent)
		n.SentBytes += size
		other.ReceivedBytes += size
	}
	if id, ok := n.peers.StartFetch(head, now); ok {
		n.fetch(n.sim.byID[id.Instance], id, head.Number)
	}
}

func (n *Node) heartbeat(to *Node) {
	now := n.sim.Now()
	head, age := n.Replica.Head(), n.Replica.Age(now)
	if to.Running {
		n.peers.MarkAnnounced(to.id, head, now)
	}
	from := n.id
	n.sim.send(n, to, func() {
		if n.id != from || !n.Running {
			return
		}
		if _, err := to.Replica.ObserveHead(head, age, to.sim.Now()); err != nil {
			to.peers.Reject(from)
			return
		}
		to.peers.ObserveHead(from, head)
		to.step()
	})
}

// fetch requests the revisions after a number from a peer and applies the
// response.
func (n *Node) fetch(from *Node, id config.PeerID, after uint64) {
	requester := n.id
	requestBytes := frameBytes(&wire.ConfigFetch{After: after})
	n.SentBytes += requestBytes
	n.sim.send(n, from, func() {
		from.ReceivedBytes += requestBytes
		from.peers.MarkFetching(requester)
		start := after
		if from.sim.cfg.FullSnapshots {
			start = 0
		}
		encoded, err := from.Replica.RevisionsAfter(start)
		if err != nil || from.id != id {
			return
		}
		responseBytes := frameBytes(&wire.ConfigDelta{Revisions: encoded})
		from.SentBytes += responseBytes
		n.sim.send(from, n, func() {
			n.ReceivedBytes += responseBytes
			if n.id == requester {
				n.peers.FetchAnswered(id)
				n.applyAndAnnounce(encoded)
			}
		})
	})
}

func frameBytes(m wire.Message) int64 {
	frame, err := wire.Append(nil, m)
	if err != nil {
		panic(err)
	}
	return int64(len(frame))
}

func instanceName(i int) model.InstanceID { return model.InstanceID("node-" + strconv.Itoa(i)) }

package peerlink

import (
	"github.com/vmihailenco/msgpack/v5"

	"github.com/auburnbend/auburnbend/lib/wire"
)

// Gossip carries what one entry has observed about backend servers and others
// should learn soon.
type Gossip struct {
	// Suspects lists requests that were in flight when backend servers crashed.
	Suspects wire.SuspectUpdate `msgpack:"u"`
	// Draining lists servers that have announced that they are draining.
	Draining []ServerKey `msgpack:"l,omitempty"`
	// Limits lists the rate limits of servers.
	Limits []RateLimit `msgpack:"r,omitempty"`
	// Forward asks an agent to forward the message to entries, and an entry to
	// forward what it didn't know yet to the other entries of its region.
	Forward bool `msgpack:"s,omitempty"`
}

// Empty reports whether there is nothing to send.
func (g *Gossip) Empty() bool {
	return len(g.Suspects.Suspects) == 0 && len(g.Draining) == 0 && len(g.Limits) == 0
}

// Datagrams encodes the gossip in datagrams of at most limit bytes, splitting it
// as necessary. A single suspect or server is never split.
func (g *Gossip) Datagrams(limit int) [][]byte {
	data, err := msgpack.Marshal(&Datagram{Gossip: g})
	if err != nil {
		panic(err)
	}
	if len(data) <= limit || g.size() < 2 {
		return [][]byte{data}
	}
	first, second := &Gossip{Forward: g.Forward}, &Gossip{Forward: g.Forward}
	first.Suspects.Suspects, second.Suspects.Suspects = halves(g.Suspects.Suspects)
	first.Draining, second.Draining = halves(g.Draining)
	first.Limits, second.Limits = halves(g.Limits)
	if first.Empty() {
		first, second = separateKinds(g)
	}
	return append(first.Datagrams(limit), second.Datagrams(limit)...)
}

// size returns the number of suspects, servers and limits.
func (g *Gossip) size() int { return len(g.Suspects.Suspects) + len(g.Draining) + len(g.Limits) }

// separateKinds splits a gossip that has at most one item of each kind.
func separateKinds(g *Gossip) (first, second *Gossip) {
	first, second = &Gossip{Forward: g.Forward}, &Gossip{Forward: g.Forward, Limits: g.Limits}
	if len(g.Suspects.Suspects) > 0 {
		first.Suspects, second.Draining = g.Suspects, g.Draining
		return first, second
	}
	first.Draining = g.Draining
	return first, second
}

func halves[T any](list []T) (first, second []T) {
	return list[:len(list)/2], list[len(list)/2:]
}
